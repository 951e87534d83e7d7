// Socket options of client connections, and the end of those whose peer is
// gone.
#include <cstddef>
#include <netinet/tcp.h>
#include <optional>
#include <utility>
#include <vector>

#include "io/event_loop.hpp"
#include "io/http_client_native.hpp"
#include "io/receive_windows.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::connection;
using internal::phase;

namespace {

constexpr duration watch_period = milliseconds{250};

// Nothing where the network does not tell.
std::optional<transport_figures> figures_of(int fd) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_last_ack_recv) +
                   sizeof info.tcpi_last_ack_recv)
        return std::nullopt;
    return transport_figures{info.tcpi_unacked, info.tcpi_probes,
                             milliseconds{info.tcpi_last_data_sent},
                             milliseconds{info.tcpi_last_ack_recv}};
}

} // namespace

void http_client::native::set_socket_options(int fd) const {
    constexpr int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    // Until close_socket() knows that all was delivered.
    internal::reset_on_close(fd, true);
    // Ends attempts to connect. On an established connection it would also end
    // one whose peer replies and keeps its window closed.
    internal::limit_unacknowledged_time(fd, m_limits.m_silence_limit);
    if (m_windows)
        receive_windows::begin(fd);
    else if (m_limits.m_receive_buffer_bytes > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &m_limits.m_receive_buffer_bytes,
                   sizeof m_limits.m_receive_buffer_bytes);
}

void http_client::native::widen(connection& conn) {
    if (m_windows && !conn.m_wide &&
        conn.m_body_bytes >= receive_windows::much_input)
        conn.m_wide = m_windows->widen(h2o_socket_get_fd(conn.m_socket));
}

void http_client::native::end_kernel_limit(const connection& conn) {
    internal::limit_unacknowledged_time(h2o_socket_get_fd(conn.m_socket),
                                        duration{0});
}

void http_client::native::watch(connection& conn) {
    conn.m_silence = {};
    if (!m_watch)
        m_watch = m_loop->after(watch_period, [this] { end_silent(); });
}

void http_client::native::end_silent() {
    m_watch = {};
    const time_point now = event_loop::now();
    std::vector<connection_id> gone;
    bool more = false;
    for (auto& [key, conn] : m_connections) {
        if (!conn.m_socket || conn.m_phase == phase::connecting ||
            conn.m_phase == phase::idle)
            continue;
        more = true;
        conn.m_silence.observe(now,
                               figures_of(h2o_socket_get_fd(conn.m_socket)));
        if (conn.m_silence.length(now) >= m_limits.m_silence_limit)
            gone.push_back(key);
    }
    if (more)
        m_watch = m_loop->after(watch_period, [this] { end_silent(); });
    for (const connection_id key : gone)
        if (connection* found = m_connections.find(key))
            fail(*found, "the peer is silent");
}

} // namespace skylark::io
