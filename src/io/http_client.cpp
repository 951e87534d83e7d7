// HTTP/1 client connections on h2o sockets.
#include "io/http_client.hpp"

#include <cerrno>
#include <netinet/tcp.h>
#include <utility>

#include <skylark/core/id_map.hpp>

#include "io/event_loop.hpp"
#include "io/native.hpp"
#include "io/response_parser.hpp"

namespace skylark::io {

namespace {

enum class phase : std::uint8_t { connecting, idle, head, body, closed };

struct connection {
    http_client::handler m_handler;
    h2o_socket_t* m_socket{};
    void* m_owner{};
    connection_id m_key;
    response_parser m_parser;
    std::string m_output; // stays until the kernel has all of it
    phase m_phase{phase::connecting};
    bool m_bytes_sent{};
    bool m_head_only{};
    bool m_paused{};
};

} // namespace

struct http_client::native {
    event_loop* m_loop;
    limits m_limits;
    id_map<connection_id, connection> m_connections;

    static void on_connect(h2o_socket_t* socket, const char* error);
    static void on_write(h2o_socket_t* socket, const char* error);
    static void on_read(h2o_socket_t* socket, const char* error);

    void report(connection& from, const client_event& what);
    void fail(connection& from, std::string_view cause);
    void shut(connection& from);
    bool advance(connection& from);
    bool advance_head(connection& from);
    bool advance_body(connection& from);
    void finish(connection& from, std::size_t rest, bool unchecked);
    void end_of_stream(connection& from, const char* error);
    void read_buffered(connection_id key);
    void tune(int fd) const;
};

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
    if (error)
        static_cast<native*>(self->m_owner)->fail(*self, error);
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
    fail(from, "bytes outside of a response");
    return false;
}

bool http_client::native::advance_head(connection& from) {
    h2o_buffer_t** input = &from.m_socket->input;
    response_head head;
    std::size_t consumed = 0;
    const auto state = from.m_parser.read_head(
        {(*input)->bytes, (*input)->size}, head, consumed);
    if (state == parse_state::more)
        return false;
    if (state == parse_state::malformed) {
        fail(from, "malformed response head");
        return false;
    }
    constexpr int first_final_status = 200;
    if (head.m_status < first_final_status) {
        h2o_buffer_consume(input, consumed);
        return true;
    }
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
    if (size > 0)
        report(from, body_received{{(*input)->bytes, size}});
    if (!m_connections.find(key) || !from.m_socket)
        return false;
    h2o_buffer_consume(&from.m_socket->input, from.m_socket->input->size);
    if (state != parse_state::found)
        return false;
    finish(from, rest, false);
    return false;
}

void http_client::native::finish(connection& from, std::size_t rest,
                                 bool unchecked) {
    const connection_id key = from.m_key;
    const bool reusable =
        rest == 0 && !unchecked && from.m_parser.keeps_connection();
    from.m_phase = phase::idle;
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
    else
        fail(from, error);
}

http_client::http_client(event_loop& loop, const limits& bounds)
    : m_native{std::make_unique<native>(native{&loop, bounds, {}})} {}

http_client::~http_client() {
    for (auto& [key, connection] : m_native->m_connections)
        m_native->shut(connection);
}

connection_id http_client::open(address to, handler who) {
    const connection_id key = m_native->m_connections.emplace();
    connection& made = *m_native->m_connections.find(key);
    made.m_handler = std::move(who);
    made.m_owner = m_native.get();
    made.m_key = key;
    sockaddr_in name = internal::to_native(to);
    auto* generic = reinterpret_cast<sockaddr*>(&name);
    made.m_socket = h2o_socket_connect(m_native->m_loop->native(), generic,
                                       sizeof name, &native::on_connect);
    if (made.m_socket) {
        made.m_socket->data = &made;
        m_native->tune(h2o_socket_get_fd(made.m_socket));
        return key;
    }
    m_native->m_loop->after(duration{0}, [this, key] {
        if (connection* found = m_native->m_connections.find(key))
            m_native->fail(*found, "connect refused by the kernel");
    });
    return key;
}

void http_client::rebind(connection_id key, handler who) {
    if (connection* found = m_native->m_connections.find(key))
        found->m_handler = std::move(who);
}

void http_client::send(connection_id key, std::string bytes, bool head_only) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase != phase::idle)
        return;
    found->m_phase = phase::head;
    found->m_head_only = head_only;
    found->m_bytes_sent = true;
    found->m_output = std::move(bytes);
    auto buffer =
        h2o_iovec_init(found->m_output.data(), found->m_output.size());
    h2o_socket_write(found->m_socket, &buffer, 1, &native::on_write);
}

void http_client::pause(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || !found->m_socket || found->m_paused)
        return;
    found->m_paused = true;
    h2o_socket_read_stop(found->m_socket);
}

void http_client::resume(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || !found->m_socket || !found->m_paused)
        return;
    found->m_paused = false;
    h2o_socket_read_start(found->m_socket, &native::on_read);
    if (found->m_socket->input->size > 0)
        m_native->m_loop->after(duration{0},
                                [this, key] { m_native->read_buffered(key); });
}

void http_client::close(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase == phase::closed)
        return;
    m_native->shut(*found);
    m_native->m_connections.erase(key);
}

bool http_client::usable(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase != phase::idle)
        return false;
    char byte{};
    const int fd = h2o_socket_get_fd(found->m_socket);
    const auto count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EINTR);
}

std::size_t http_client::size() const {
    return m_native->m_connections.size();
}

} // namespace skylark::io
