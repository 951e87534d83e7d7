// Read path of client connections: turns received bytes into events.
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_client_native.hpp"
#include "io/receive_windows.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::connection;
using internal::phase;

namespace {
// Beyond this a new connection costs less than reading on.
constexpr std::size_t most_skipped_bytes = std::size_t{4} << 20U;
} // namespace

// Processes what pause() left and goes on reading.
void http_client::native::continue_reading(connection_id key) {
    process_input(key);
    connection* found = m_connections.find(key);
    if (found && found->m_socket && !found->m_paused)
        h2o_socket_read_start(found->m_socket, &native::on_read);
}

void http_client::native::report(connection& conn, const client_event& event) {
    // The handler may rebind or close the connection, which would destroy
    // it during the call, so a copy is run.
    const handler on_event = conn.m_handler;
    on_event(conn.m_key, event);
}

void http_client::native::close_socket(connection& conn) {
    const bool in_progress =
        conn.m_phase == phase::head || conn.m_phase == phase::body;
    conn.m_phase = phase::closed;
    if (auto* socket = std::exchange(conn.m_socket, nullptr)) {
        socket->data = nullptr;
        // A request that was given up on must not arrive later. An
        // intermediary may hold what it has acknowledged.
        const int fd = h2o_socket_get_fd(socket);
        if (!in_progress && !conn.m_writing &&
            internal::unacknowledged_bytes(fd) == 0)
            internal::reset_on_close(fd, false);
        h2o_socket_close(socket);
        if (std::exchange(conn.m_wide, false))
            m_windows->release();
    }
}

void http_client::native::fail(connection& conn, std::string_view cause) {
    const connection_id key = conn.m_key;
    const bool response_started =
        conn.m_phase == phase::body && !conn.m_skipping;
    close_socket(conn);
    report(conn, connection_failed{conn.m_bytes_sent, response_started, cause});
    m_connections.erase(key);
}

void http_client::native::on_connect(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<connection*>(socket->data);
    if (!self)
        return;
    auto& owner = *static_cast<native*>(self->m_owner);
    int result = 0;
    socklen_t size = sizeof result;
    getsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_ERROR, &result, &size);
    if (error || result != 0) {
        owner.fail(*self, error ? error : std::strerror(result));
        return;
    }
    self->m_phase = phase::idle;
    owner.end_kernel_limit(*self);
    h2o_socket_read_start(socket, &native::on_read);
    owner.report(*self, connected{});
}

void http_client::native::on_write(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<connection*>(socket->data);
    if (!self)
        return;
    self->m_writing = false;
    auto& owner = *static_cast<native*>(self->m_owner);
    if (error && self->m_phase == phase::awaiting_write) {
        owner.complete(*self, false, false);
    } else if (error) {
        // The end of the input follows, behind what the peer has sent.
        self->m_write_failed = true;
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
    }
}

void http_client::native::on_read(h2o_socket_t* socket, const char* /*error*/) {
    if (auto* self = static_cast<connection*>(socket->data))
        static_cast<native*>(self->m_owner)->receive(*self);
}

// Reads a bounded part; the socket stays readable if there is more, so that
// other connections have their turn first.
void http_client::native::receive(connection& conn) {
    const connection_id key = conn.m_key;
    const time_point began = event_loop::now();
    const std::size_t most =
        m_budget.next(m_loop->iteration(), m_read_buffer.size());
    const int fd = h2o_socket_get_fd(conn.m_socket);
    const auto count = recv(fd, m_read_buffer.data(), most, 0);
    if (count > 0) {
        conn.m_input.append(m_read_buffer.data(),
                            static_cast<std::size_t>(count));
        process_input(key);
        m_budget.add(event_loop::now() - began);
        return;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    const bool in_order = count == 0 && internal::ended_in_order(fd);
    handle_end_of_stream(conn, in_order ? h2o_socket_error_closed
                                        : h2o_socket_error_io);
}

void http_client::native::process_input(connection_id key) {
    connection* found = m_connections.find(key);
    while (found && advance(*found))
        found = m_connections.find(key);
    // Idle connections are many and keep no memory for input.
    found = m_connections.find(key);
    if (found && found->m_input.empty())
        found->m_input.shrink_to_fit();
}

// Performs one parsing step; returns false when it needs more input or
// nothing is left to do.
bool http_client::native::advance(connection& conn) {
    if (conn.m_phase == phase::closed || conn.m_paused || conn.m_input.empty())
        return false;
    if (conn.m_phase == phase::head)
        return advance_head(conn);
    if (conn.m_phase == phase::body)
        return advance_body(conn);
    if (conn.m_phase == phase::awaiting_write) {
        complete(conn, false, false);
        return false;
    }
    fail(conn, "bytes outside of a response");
    return false;
}

// Fails a connection that received too much besides the body, such as endless
// interim responses, chunk extensions or trailers. Returns whether the
// connection is still open.
bool http_client::native::check_overhead(connection& conn) {
    const std::size_t limit =
        m_limits.m_head_bytes +
        m_limits.m_framing_per_body_byte * conn.m_body_bytes;
    if (conn.m_overhead_bytes <= limit)
        return true;
    fail(conn, "response without an end");
    return false;
}

bool http_client::native::advance_head(connection& conn) {
    response_head head;
    std::size_t consumed = 0;
    const auto state =
        conn.m_parser.read_head(conn.m_input, conn.m_head_only, head, consumed);
    if (state == parse_state::more) {
        if (conn.m_input.size() > m_limits.m_head_bytes)
            fail(conn, "response head without an end");
        return false;
    }
    if (state == parse_state::malformed) {
        fail(conn, "malformed response head");
        return false;
    }
    constexpr int first_final_status = 200;
    if (head.m_status < first_final_status) {
        conn.m_input.erase(0, consumed);
        conn.m_overhead_bytes += consumed;
        return check_overhead(conn);
    }
    conn.m_phase = phase::body;
    const connection_id key = conn.m_key;
    report(conn, head_received{head});
    if (!m_connections.find(key) || !conn.m_socket)
        return false;
    conn.m_input.erase(0, consumed);
    // Skipped responses are bounded together.
    conn.m_overhead_bytes =
        conn.m_skipping ? conn.m_overhead_bytes + consumed : 0;
    if (!conn.m_skipping)
        conn.m_body_bytes = 0;
    if (conn.m_parser.expects_body())
        return true;
    if (conn.m_skipping)
        return finish_skipped(conn);
    finish(conn, conn.m_input.size(), false);
    return false;
}

bool http_client::native::advance_body(connection& conn) {
    const std::size_t taken = conn.m_input.size();
    std::size_t size = 0;
    std::size_t rest = 0;
    const auto state = conn.m_parser.read_body(conn.m_input, size, rest);
    if (state == parse_state::malformed) {
        fail(conn, "malformed response body");
        return false;
    }
    const connection_id key = conn.m_key;
    conn.m_overhead_bytes += taken - rest - size;
    conn.m_body_bytes += size;
    conn.m_skipped_bytes += conn.m_skipping ? taken - rest : 0;
    if (conn.m_skipped_bytes > most_skipped_bytes) {
        fail(conn, "skipped response without an end");
        return false;
    }
    widen(conn);
    if (size > 0 && !conn.m_skipping)
        report(conn, body_received{{conn.m_input.data(), size}});
    if (!m_connections.find(key) || !conn.m_socket)
        return false;
    conn.m_input.erase(0, taken - rest);
    if (state == parse_state::more) {
        check_overhead(conn);
        return false;
    }
    if (conn.m_skipping)
        return finish_skipped(conn);
    finish(conn, rest, false);
    return false;
}

} // namespace skylark::io
