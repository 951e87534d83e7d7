// Lingering close of connections whose answer was sent.
#include "io/lingering_connections.hpp"

#include <algorithm>
#include <cerrno>

#include "io/socket_memory.hpp"
#include "io/socket_queue.hpp"

namespace skylark::io {

namespace {

// Bounds the time that one connection takes in a loop iteration.
constexpr std::size_t discard_limit = std::size_t{256} << 10U; // bytes

} // namespace

lingering_connections::lingering_connections(event_loop& loop,
                                             const lingering_limits& limits)
    : m_loop{loop}, m_limits{limits} {}

lingering_connections::~lingering_connections() {
    while (!m_connections.empty())
        close(m_connections.begin()->first);
}

void lingering_connections::add(int fd) {
    if (m_connections.size() >= m_limits.m_count)
        close_oldest();
    shutdown(fd, SHUT_WR);
    auto* socket = h2o_evloop_socket_create(m_loop.native(), fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    const key added{++m_last};
    const timer_id timer =
        m_loop.after(m_limits.m_time, [this, added] { close(added); });
    auto& entry =
        m_connections.try_emplace(added, connection{this, socket, added, timer})
            .first->second;
    socket->data = &entry;
    h2o_socket_read_start(socket, &on_readable);
}

bool lingering_connections::close_oldest() {
    if (m_connections.empty())
        return false;
    close(m_connections.begin()->first);
    return true;
}

std::size_t lingering_connections::kernel_bytes() const {
    std::size_t sum = 0;
    for (const auto& [key, item] : m_connections)
        sum += internal::socket_memory(h2o_socket_get_fd(item.m_socket));
    return sum;
}

bool lingering_connections::delivered() const {
    return std::all_of(
        m_connections.begin(), m_connections.end(), [](const auto& item) {
            const connection& entry = item.second;
            const int fd = h2o_socket_get_fd(entry.m_socket);
            return !entry.m_input_seen && internal::unread_bytes(fd) == 0 &&
                   internal::unacknowledged_bytes(fd) == 0;
        });
}

void lingering_connections::on_readable(h2o_socket_t* socket,
                                        const char* error) {
    auto& self = *static_cast<connection*>(socket->data);
    const auto count =
        internal::discard_input(h2o_socket_get_fd(socket), discard_limit);
    const bool retry = count < 0 && (errno == EAGAIN || errno == EINTR);
    if (error || count == 0 || (count < 0 && !retry))
        self.m_owner->close(self.m_key);
    else
        self.m_input_seen |= count > 0;
}

void lingering_connections::close(key of) {
    const auto found = m_connections.find(of);
    if (found == m_connections.end())
        return;
    m_loop.cancel(found->second.m_timer);
    h2o_socket_close(found->second.m_socket);
    m_connections.erase(found);
}

} // namespace skylark::io
