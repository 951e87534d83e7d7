// Open connections of the HTTP server: ends of idle ones, and limits on their
// input.
#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "io/event_loop.hpp"
#include "io/http_server_native.hpp"
#include "io/http_status.hpp"
#include "io/receive_windows.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::accepted_connection;

namespace {
// Time that a new connection has for its first byte during a shutdown.
constexpr auto first_input_time = milliseconds{50};
// Time for which idle callers are kept although others wait; more often they go
// on at once.
constexpr auto kept_idle_time = seconds{1};
// Size of the interim response that invites a body.
constexpr std::size_t continue_size =
    std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"}.size();

// Whether the caller waits for nothing: no part of a request has arrived, and
// all that was sent is acknowledged.
bool is_idle(h2o_socket_t* socket) {
    const int fd = h2o_socket_get_fd(socket);
    return h2o_socket_is_reading(socket) && socket->input->size == 0 &&
           internal::unread_bytes(fd) == 0 &&
           internal::unacknowledged_bytes(fd) == 0;
}
} // namespace

// h2o closes its side when it reads the end of the input.
void http_server::native::end_idle() {
    const time_point now = event_loop::now();
    for (auto& [key, item] : m_connections) {
        const bool is_new = item.m_socket->bytes_read == 0 &&
                            now - item.m_accepted < first_input_time;
        if (item.m_ended || is_new || !is_idle(item.m_socket))
            continue;
        item.m_ended = true;
        shutdown(h2o_socket_get_fd(item.m_socket), SHUT_RDWR);
    }
}

// Idle callers make room for those that wait in the listen queue.
void http_server::native::end_longest_idle(std::size_t most) {
    const time_point now = event_loop::now();
    std::vector<accepted_connection*> idle;
    for (auto& [key, item] : m_connections)
        if (!item.m_ended && now - item.m_since >= kept_idle_time &&
            is_idle(item.m_socket))
            idle.push_back(&item);
    std::sort(idle.begin(), idle.end(),
              [](const auto* left, const auto* right) {
                  return left->m_since < right->m_since;
              });
    idle.resize(std::min(idle.size(), most));
    for (accepted_connection* item : idle) {
        item->m_ended = true;
        shutdown(h2o_socket_get_fd(item->m_socket), SHUT_RDWR);
    }
}

// A request that has begun keeps the time that it had then, however long its
// connection was idle before.
void http_server::native::end_overdue() {
    const time_point now = event_loop::now();
    for (auto& [key, item] : m_connections) {
        h2o_socket_t* socket = item.m_socket;
        if (item.m_ended || !h2o_socket_is_reading(socket))
            continue;
        const std::size_t size = socket->input->size;
        const bool receiving = size > 0;
        if (receiving && !item.m_receiving)
            item.m_since = now;
        if (!receiving || !item.m_receiving)
            item.m_time_limit = m_idle_timeout;
        item.m_receiving = receiving;
        const bool was_overdue = std::exchange(
            item.m_overdue, now - item.m_since >= item.m_time_limit);
        if (!item.m_overdue)
            continue;
        // A long turn of the loop ends with this check, before it reads what
        // arrived meanwhile.
        const int fd = h2o_socket_get_fd(socket);
        if (!was_overdue && internal::unread_bytes(fd) > 0)
            continue;
        if (receiving)
            discarded(discard_cause::time_limit, size);
        item.m_ended = true;
        shutdown(fd, SHUT_RDWR);
    }
}

void http_server::native::on_socket_close(void* data) {
    const auto* self = static_cast<accepted_connection*>(data);
    auto& server = *static_cast<native*>(self->m_server);
    // h2o answers a malformed head with bytes that pass no filter.
    const std::size_t unaccounted =
        self->m_socket->bytes_written - self->m_answer_bytes;
    if (unaccounted > continue_size && server.m_handlers.m_rejected)
        server.m_handlers.m_rejected(status::bad_request, {});
    if (self->m_kept >= 0)
        server.m_lingering.add(self->m_kept);
    server.end_early(*server.m_connections.find(self->m_key), 0);
    if (self->m_wide && server.m_windows)
        server.m_windows->release();
    server.m_connections.erase(self->m_key);
}

std::set<int> http_server::native::sockets_in_exchange() {
    std::set<int> out;
    for (const auto& [key, item] : m_exchanges)
        out.insert(item.m_socket);
    return out;
}

void http_server::native::set_bounds(const request_bounds& bounds) {
    const request_bounds before = std::exchange(m_bounds, bounds);
    const bool lowered =
        bounds.m_head < before.m_head || bounds.m_body < before.m_body;
    for (auto& [key, item] : m_connections) {
        h2o_socket_t* socket = item.m_socket;
        const auto unread = static_cast<std::size_t>(
            internal::unread_bytes(h2o_socket_get_fd(socket)));
        if (lowered && socket->input->size + unread > 0)
            item.m_held.hold(socket->bytes_read + unread, before);
    }
    widen_bounds();
}

void http_server::native::widen_bounds() {
    m_widest = m_bounds;
    for (const auto& [key, item] : m_connections)
        m_widest = item.m_held.widen(m_widest);
    m_config.max_request_entity_size = m_widest.m_body;
}

// h2o rejects an unfinished head only at one exact size, which its input may
// skip. Closes such connections, so that each holds bounded memory.
void http_server::native::close_oversized() {
    std::vector<accepted_connection*> oversized;
    for (auto& [key, item] : m_connections) {
        const std::size_t size = item.m_socket->input->size;
        if (size > m_widest.total() && h2o_socket_is_reading(item.m_socket))
            oversized.push_back(&item);
    }
    for (accepted_connection* item : oversized) {
        discarded(discard_cause::input_limit, item->m_socket->input->size);
        end_receiving(*item);
    }
}

void http_server::native::end_receiving(accepted_connection& connection) {
    linger(connection);
    // h2o closes its descriptor, as when reading fails.
    h2o_socket_t* socket = connection.m_socket;
    socket->_cb.read(socket, h2o_socket_error_io);
}

// h2o hands a request over once it is whole, so the answer passes it by. Input
// that h2o is reading is not behind an unfinished answer.
void http_server::native::refuse_receiving(accepted_connection& connection) {
    std::string text = "HTTP/1.1 503 Service Unavailable\r\n";
    if (m_handlers.m_overload_headers)
        for (const header& field : m_handlers.m_overload_headers())
            text += field.m_name + ": " + field.m_value + "\r\n";
    text += "Connection: close\r\nContent-Length: 0\r\n\r\n";
    ::send(h2o_socket_get_fd(connection.m_socket), text.data(), text.size(),
           MSG_DONTWAIT | MSG_NOSIGNAL);
    if (m_handlers.m_rejected)
        m_handlers.m_rejected(status::unavailable, {});
    end_receiving(connection);
}

// Refuses requests that are still being received, largest first, until the
// total is within the limit. None of them has been processed.
void http_server::native::limit_total_input() {
    std::size_t sum = 0;
    for (const auto& [key, item] : m_connections)
        sum += item.m_socket->input->size;
    // The total must admit at least one request of maximum size.
    const std::size_t limit = std::max(m_total_input_limit, m_widest.total());
    if (sum <= limit)
        return;
    const std::set<int> in_exchange = sockets_in_exchange();
    std::vector<std::pair<std::size_t, accepted_connection*>> receiving;
    for (auto& [key, item] : m_connections) {
        const int fd = h2o_socket_get_fd(item.m_socket);
        const std::size_t size = item.m_socket->input->size;
        if (size > 0 && h2o_socket_is_reading(item.m_socket) &&
            !in_exchange.contains(fd))
            receiving.emplace_back(size, &item);
    }
    std::sort(receiving.rbegin(), receiving.rend());
    for (const auto& [size, connection] : receiving) {
        if (sum <= limit)
            return;
        discarded(discard_cause::input_limit, size);
        refuse_receiving(*connection);
        sum -= size;
    }
}

void http_server::native::widen_windows() {
    if (!m_windows)
        return;
    for (auto& [key, item] : m_connections)
        if (!item.m_wide &&
            item.m_socket->input->size >= receive_windows::much_input)
            item.m_wide = m_windows->widen(h2o_socket_get_fd(item.m_socket));
}

} // namespace skylark::io
