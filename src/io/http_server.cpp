// HTTP/1 server on h2o: configuration, listening and responses.
#include "io/http_server.hpp"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <poll.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_server_native.hpp"
#include "io/listener.hpp"
#include "io/receive_windows.hpp"
#include "io/request_input.hpp"
#include "io/socket_memory.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::exchange;
using internal::filter;
using internal::handler;

namespace {
constexpr auto input_check_period = milliseconds{100};
constexpr auto idle_check_period = milliseconds{10};
// h2o's own time limit runs from the end of an answer until the next request
// is whole, so it must not cut a connection; end_overdue() does.
constexpr auto no_time_limit = std::chrono::hours{24 * 365};
} // namespace

http_server::http_server(event_loop& loop, const server_limits& limits,
                         receive_windows* windows)
    : m_native{std::make_unique<native>(loop)} {
    m_native->m_windows = windows;
    auto& config = m_native->m_config;
    h2o_config_init(&config);
    config.http1.req_timeout = static_cast<std::uint64_t>(to_ms(no_time_limit));
    config.http1.upgrade_to_http2 = 0;
    config.server_name = h2o_iovec_init(H2O_STRLIT("skylarkspindle"));
    constexpr int any_port = 65535;
    auto* host = h2o_config_register_host(
        &config, h2o_iovec_init(H2O_STRLIT("default")), any_port);
    auto* path = h2o_config_register_path(host, "/", 0);
    auto* own =
        reinterpret_cast<handler*>(h2o_create_handler(path, sizeof(handler)));
    own->m_super.on_req = &native::on_request;
    own->m_server = m_native.get();
    // h2o answers some invalid requests on the fallback path.
    for (auto* answered : {path, &host->fallback_path}) {
        auto* guard = reinterpret_cast<filter*>(
            h2o_create_filter(answered, sizeof(filter)));
        guard->m_super.on_setup_ostream = &native::on_answer;
        guard->m_server = m_native.get();
    }
    h2o_context_init(&m_native->m_context, loop.native(), &config);
    m_native->m_bounds = {limits.m_head_bytes, limits.m_body_bytes};
    set_limits(limits);
    auto* native = m_native.get();
    loop.every(input_check_period, [native] {
        native->end_overdue();
        native->widen_bounds();
        native->close_oversized();
        native->limit_total_input();
        native->widen_windows();
    });
    m_native->m_accept.ctx = &m_native->m_context;
    m_native->m_accept.hosts = config.hosts;
}

http_server::~http_server() {
    stop_listening();
    // Leaks the state on purpose: h2o keeps pointers to it, and connections
    // stay open until the process ends.
    m_native->m_windows = nullptr;
    static_cast<void>(m_native.release());
}

void http_server::set_limits(const server_limits& limits) {
    m_native->m_buffers = {limits.m_send_buffer_bytes,
                           m_native->m_windows ? receive_windows::narrow
                                               : limits.m_receive_buffer_bytes};
    m_native->m_total_input_limit = limits.m_input_bytes;
    m_native->set_bounds({limits.m_head_bytes, limits.m_body_bytes});
    m_native->m_idle_timeout = limits.m_idle_timeout;
    m_native->m_concurrent_requests = limits.m_concurrent_requests;
    m_native->m_held_limit = limits.m_held_bytes;
}

void http_server::set_handlers(handlers callbacks) {
    m_native->m_handlers = std::move(callbacks);
}

parsed<address> http_server::listen(address local) {
    BOOST_OUTCOME_TRY(fd, internal::open_listener(local, m_native->m_buffers));
    auto* socket = h2o_evloop_socket_create(m_native->m_loop->native(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    socket->data = m_native.get();
    m_native->m_most_connections = native::most_connections();
    h2o_socket_read_start(socket, &native::on_accept);
    m_native->m_listeners.push_back(socket);
    return internal::local_address(fd);
}

void http_server::stop_listening() {
    for (auto* socket : m_native->m_listeners) {
        h2o_socket_read_stop(socket);
        h2o_socket_close(socket);
    }
    m_native->m_listeners.clear();
}

void http_server::close_after_answer() {
    m_native->m_closing = true;
}

void http_server::begin_shutdown() {
    if (m_native->m_shutting_down)
        return;
    m_native->m_shutting_down = true;
    close_after_answer();
    for (auto* listener : m_native->m_listeners)
        m_native->accept_queued(listener);
    stop_listening();
    auto* native = m_native.get();
    native->m_loop->every(idle_check_period, [native] { native->end_idle(); });
}

bool http_server::has_unread_input() const {
    for (const auto& [key, item] : m_native->m_connections)
        if (h2o_socket_is_reading(item.m_socket) &&
            internal::unread_bytes(h2o_socket_get_fd(item.m_socket)) > 0)
            return true;
    return false;
}

void http_server::end_connections() {
    for (const auto& [key, item] : m_native->m_connections)
        shutdown(h2o_socket_get_fd(item.m_socket), SHUT_RDWR);
}

bool http_server::drained() const {
    return m_native->m_shutting_down && m_native->m_connections.empty() &&
           m_native->m_lingering.delivered();
}

void http_server::start(exchange_id key, int status,
                        std::span<const header> headers,
                        std::optional<std::uint64_t> length) {
    exchange* found = m_native->m_exchanges.find(key);
    if (found && found->m_held)
        found->m_held->start(status, headers, length);
    else if (found && !found->m_started)
        m_native->start(*found, status, headers, length);
}

void http_server::send(exchange_id key, std::string_view piece, bool last) {
    exchange* found = m_native->m_exchanges.find(key);
    if (found && found->m_held)
        m_native->hold(key, piece, last);
    else if (found && found->m_started && !found->m_complete &&
             !found->m_send_pending)
        m_native->write(*found, std::string{piece}, last);
}

void http_server::abort(exchange_id key) {
    exchange* found = m_native->m_exchanges.find(key);
    if (found && found->m_held && !found->m_request)
        m_native->abort_held(*found, key);
    else if (found && found->m_started)
        m_native->break_off(*found);
}

void http_server::reset_at_end(exchange_id key) {
    const exchange* found = m_native->m_exchanges.find(key);
    auto* connection =
        found ? m_native->m_connections.find(found->m_connection) : nullptr;
    if (!connection)
        return;
    // Answers before it may still be on their way. A part that h2o is still
    // writing counts as written, but the kernel may not have it yet.
    const std::size_t written =
        connection->m_socket->bytes_written - connection->m_answer_bytes;
    const std::size_t pending =
        found->m_send_pending ? found->m_piece.size() : 0;
    if (!found->m_request || unacknowledged(key) + pending > written)
        return;
    connection->m_reset_at_end = true;
    constexpr linger at_once{1, 0};
    setsockopt(found->m_socket, SOL_SOCKET, SO_LINGER, &at_once,
               sizeof at_once);
}

void http_server::answer(exchange_id key, int status,
                         std::span<const header> headers,
                         std::string_view body) {
    const exchange* found = m_native->m_exchanges.find(key);
    if (!found || found->m_started)
        return;
    const bool ends_with_head = found->m_head_only;
    start(key, status, headers, body.size());
    send(key, ends_with_head ? std::string_view{} : body, true);
}

std::string_view http_server::body(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    if (!found || !found->m_request)
        return {};
    const h2o_iovec_t& entity = found->m_request->entity;
    return {entity.base, entity.len};
}

int http_server::duplicate_descriptor(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    return found && found->m_request
               ? fcntl(found->m_socket, F_DUPFD_CLOEXEC, 0)
               : -1;
}

std::optional<duration> http_server::since_input(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    return found ? internal::since_last_input(found->m_socket) : std::nullopt;
}

bool http_server::caller_disconnected(exchange_id key) {
    const exchange* found = m_native->m_exchanges.find(key);
    // Input that is left hides a reset from a peek.
    if (!found || caller_unreachable(key))
        return true;
    char byte{};
    const auto count = recv(found->m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

bool http_server::caller_unreachable(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    if (!found)
        return true;
    // After the end of the input, recv() no longer reports a reset.
    pollfd state{found->m_socket, 0, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP)) != 0;
}

std::size_t http_server::unacknowledged(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    return found && found->m_request
               ? static_cast<std::size_t>(
                     internal::unacknowledged_bytes(found->m_socket))
               : 0;
}

bool http_server::awaits_turn(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    return found && !found->m_request;
}

duration http_server::time_since_last_request() const {
    return event_loop::now() - m_native->m_last_request;
}

std::size_t http_server::connections() const {
    return m_native->m_connections.size() + m_native->m_lingering.size();
}

std::size_t http_server::kernel_bytes(exchange_id key) const {
    const exchange* found = m_native->m_exchanges.find(key);
    return found ? internal::socket_memory(found->m_socket) : 0;
}

std::size_t http_server::kernel_bytes() const {
    std::size_t sum = m_native->m_lingering.kernel_bytes();
    for (const auto& [key, item] : m_native->m_connections)
        sum += internal::socket_memory(h2o_socket_get_fd(item.m_socket));
    return sum;
}

std::size_t http_server::active() const {
    return m_native->m_exchanges.size();
}

} // namespace skylark::io
