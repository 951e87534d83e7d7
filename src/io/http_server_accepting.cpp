// Connections that the HTTP server accepts, as far as descriptors are free.
#include <algorithm>
#include <cerrno>
#include <limits>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_server_native.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

using internal::accepted_connection;

namespace {
// Time for which the kernel keeps output that a caller does not take. No limit
// of the process counts it once the connection is closed.
constexpr duration output_time = seconds{30};
// Connections accepted in one loop iteration, so that a burst does not keep
// open connections waiting.
constexpr int accept_batch = 64;
// Exceeds the listen queue; bounds the last accepting while callers go on
// connecting.
constexpr int last_accept_batch = 8192;
// Kept for the store, other entries, operators and files.
constexpr std::size_t most_own_descriptors = 64;
// Time until the listen queue is looked at again. The listening socket stays
// readable, so polling it would keep the loop turning.
constexpr auto accept_pause = milliseconds{20};
} // namespace

// Each request needs a descriptor for its upstream as well, so callers get half
// of what the process itself leaves.
std::size_t http_server::native::most_connections() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::numeric_limits<std::size_t>::max();
    const std::size_t all = limit.rlim_cur;
    const std::size_t own = std::min(all / 4, most_own_descriptors);
    return std::max<std::size_t>(1, (all - own) / 2);
}

bool http_server::native::is_full() const {
    return m_connections.size() + m_lingering.size() >= m_most_connections;
}

// Until it ends, answers close their connections, so that callers in the listen
// queue have their turn.
void http_server::native::pause_accepting() {
    if (std::exchange(m_accept_paused, true))
        return;
    for (auto* listener : m_listeners)
        h2o_socket_read_stop(listener);
    end_longest_idle(accept_batch);
    m_loop->after(accept_pause, [this] {
        m_accept_paused = false;
        for (auto* listener : m_listeners)
            h2o_socket_read_start(listener, &native::on_accept);
    });
}

// Returns whether the listen queue may hold further connections.
bool http_server::native::accept_one(h2o_socket_t* listener) {
    h2o_socket_t* socket = h2o_evloop_socket_accept(listener);
    if (!socket) {
        const int cause = errno;
        if (cause == EMFILE || cause == ENFILE || cause == ENOBUFS ||
            cause == ENOMEM)
            pause_accepting();
        return cause == ECONNABORTED || cause == EINTR;
    }
    constexpr int on = 1;
    const int fd = h2o_socket_get_fd(socket);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    internal::limit_unacknowledged_time(fd, output_time);
    const connection_id key = m_connections.emplace(
        accepted_connection{this, socket, event_loop::now(), {}});
    accepted_connection& added = *m_connections.find(key);
    added.m_key = key;
    added.m_since = added.m_accepted;
    socket->on_close.cb = &native::on_socket_close;
    socket->on_close.data = &added;
    h2o_accept(&m_accept, socket);
    return true;
}

void http_server::native::on_accept(h2o_socket_t* listener, const char* error) {
    auto& server = *static_cast<native*>(listener->data);
    if (error)
        return;
    if (server.is_full()) {
        server.pause_accepting();
        return;
    }
    for (int i = 0;
         i < accept_batch && !server.is_full() && server.accept_one(listener);
         ++i) {
    }
}

void http_server::native::accept_queued(h2o_socket_t* listener) {
    for (int i = 0; i < last_accept_batch && accept_one(listener); ++i) {
    }
}

} // namespace skylark::io
