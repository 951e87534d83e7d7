// Reading side of client connections: from bytes to events.
#include <netinet/tcp.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_client_native.hpp"

namespace skylark::io {

using internal::connection;
using internal::phase;

// Goes on with input that arrived before a pause.
void http_client::native::read_buffered(connection_id key) {
    connection* found = m_connections.find(key);
    if (found && found->m_socket && !found->m_paused)
        on_read(found->m_socket, nullptr);
}

void http_client::native::report(connection& from, const client_event& what) {
    // The handler may rebind or close: run a copy.
    const handler who = from.m_handler;
    who(from.m_key, what);
}

void http_client::native::shut(connection& from) {
    from.m_phase = phase::closed;
    if (auto* socket = std::exchange(from.m_socket, nullptr)) {
        socket->data = nullptr;
        // Without a reset the kernel would go on sending the rest.
        constexpr linger reset{1, 0};
        if (from.m_writing)
            setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &reset,
                       sizeof reset);
        h2o_socket_close(socket);
    }
}

void http_client::native::fail(connection& from, std::string_view cause) {
    const connection_id key = from.m_key;
    const bool head_seen = from.m_phase == phase::body;
    shut(from);
    report(from, connection_failed{from.m_bytes_sent, head_seen, cause});
    m_connections.erase(key);
}

void http_client::native::tune(int fd) const {
    constexpr int on = 1;
    const auto unacknowledged =
        static_cast<unsigned>(to_ms(m_limits.m_unacknowledged));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
               sizeof unacknowledged);
    if (m_limits.m_receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &m_limits.m_receive_buffer,
                   sizeof m_limits.m_receive_buffer);
}

void http_client::native::on_connect(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<connection*>(socket->data);
    if (!self)
        return;
    auto& owner = *static_cast<native*>(self->m_owner);
    if (error) {
        owner.fail(*self, error);
        return;
    }
    self->m_phase = phase::idle;
    h2o_socket_read_start(socket, &native::on_read);
    owner.report(*self, connected{});
}

void http_client::native::on_write(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<connection*>(socket->data);
    if (!self)
        return;
    self->m_writing = false;
    auto& owner = *static_cast<native*>(self->m_owner);
    if (error && self->m_phase == phase::settling)
        owner.complete(*self, false, false);
    else if (error)
        owner.fail(*self, error);
}

void http_client::native::on_read(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<connection*>(socket->data);
    if (!self)
        return;
    auto& owner = *static_cast<native*>(self->m_owner);
    const connection_id key = self->m_key;
    // What arrived before the end is delivered even to a paused reader.
    if (error)
        self->m_paused = false;
    while (owner.m_connections.find(key) && owner.advance(*self)) {
    }
    if (error && owner.m_connections.find(key))
        owner.end_of_stream(*self, error);
}

// One step of reading; false when more input or nothing is left to do.
bool http_client::native::advance(connection& from) {
    if (from.m_phase == phase::closed || from.m_paused ||
        from.m_socket->input->size == 0)
        return false;
    if (from.m_phase == phase::head)
        return advance_head(from);
    if (from.m_phase == phase::body)
        return advance_body(from);
    if (from.m_phase == phase::settling) {
        complete(from, false, false);
        return false;
    }
    fail(from, "bytes outside of a response");
    return false;
}

// Ends a response that goes on without leading to anything.
bool http_client::native::bounded(connection& from) {
    if (from.m_overhead <= m_limits.m_head_bytes)
        return true;
    fail(from, "response without an end");
    return false;
}

bool http_client::native::advance_head(connection& from) {
    h2o_buffer_t** input = &from.m_socket->input;
    response_head head;
    std::size_t consumed = 0;
    const auto state = from.m_parser.read_head(
        {(*input)->bytes, (*input)->size}, head, consumed);
    if (state == parse_state::more) {
        if ((*input)->size > m_limits.m_head_bytes)
            fail(from, "response head without an end");
        return false;
    }
    if (state == parse_state::malformed) {
        fail(from, "malformed response head");
        return false;
    }
    constexpr int first_final_status = 200;
    if (head.m_status < first_final_status) {
        h2o_buffer_consume(input, consumed);
        from.m_overhead += consumed;
        return bounded(from);
    }
    from.m_overhead = 0;
    from.m_phase = phase::body;
    const connection_id key = from.m_key;
    report(from, head_received{head});
    if (!m_connections.find(key) || !from.m_socket)
        return false;
    h2o_buffer_consume(&from.m_socket->input, consumed);
    if (from.m_head_only || head.m_length == 0U) {
        finish(from, 0, false);
        return false;
    }
    return true;
}

bool http_client::native::advance_body(connection& from) {
    h2o_buffer_t** input = &from.m_socket->input;
    std::size_t size = 0;
    std::size_t rest = 0;
    const auto state =
        from.m_parser.read_body({(*input)->bytes, (*input)->size}, size, rest);
    if (state == parse_state::malformed) {
        fail(from, "malformed response body");
        return false;
    }
    const connection_id key = from.m_key;
    from.m_overhead = size > 0 ? 0 : from.m_overhead + (*input)->size;
    if (size > 0)
        report(from, body_received{{(*input)->bytes, size}});
    if (!m_connections.find(key) || !from.m_socket)
        return false;
    h2o_buffer_consume(&from.m_socket->input, from.m_socket->input->size);
    if (state != parse_state::found) {
        bounded(from);
        return false;
    }
    finish(from, rest, false);
    return false;
}

void http_client::native::finish(connection& from, std::size_t rest,
                                 bool unchecked) {
    const bool reusable =
        rest == 0 && !unchecked && from.m_parser.keeps_connection();
    if (!reusable || !from.m_writing) {
        complete(from, reusable, unchecked);
        return;
    }
    // h2o takes no further write yet. It reports this one in the same turn,
    // unless the kernel has not taken the whole request.
    from.m_phase = phase::settling;
    const connection_id key = from.m_key;
    m_loop->after(duration{0}, [this, key] { settle(key); });
}

void http_client::native::settle(connection_id key) {
    connection* found = m_connections.find(key);
    if (found && found->m_phase == phase::settling)
        complete(*found, !found->m_writing, false);
}

void http_client::native::complete(connection& from, bool reusable,
                                   bool unchecked) {
    const connection_id key = from.m_key;
    from.m_phase = phase::idle;
    from.m_overhead = 0;
    from.m_bytes_sent = false;
    if (!reusable)
        shut(from);
    report(from, response_complete{reusable, unchecked});
    if (!reusable)
        m_connections.erase(key);
}

void http_client::native::end_of_stream(connection& from, const char* error) {
    const bool body_may_end = from.m_phase == phase::body &&
                              from.m_parser.ends_with_connection() &&
                              error == h2o_socket_error_closed;
    if (body_may_end)
        finish(from, 0, true);
    else if (from.m_phase == phase::settling)
        complete(from, false, false);
    else
        fail(from, error);
}

} // namespace skylark::io
