// What the kernel knows of a connected socket: bytes that it holds, when input
// came, and how it ended.
#ifndef SKYLARK_IO_SOCKET_QUEUE_HPP
#define SKYLARK_IO_SOCKET_QUEUE_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <skylark/core/time.hpp>

namespace skylark::io::internal {

/*! @brief Number of bytes that were received and not read; 0 on an error. */
inline int unread_bytes(int fd) {
    int count = 0;
    return ioctl(fd, SIOCINQ, &count) == 0 ? count : 0;
}

/*! @brief Number of bytes that the peer has not acknowledged; the end of the
 *  stream counts as one. 0 on an error. */
inline int unacknowledged_bytes(int fd) {
    int count = 0;
    return ioctl(fd, SIOCOUTQ, &count) == 0 ? count : 0;
}

/*! @brief Limits the time for which the kernel keeps output that the peer does
 *  not acknowledge, also behind the close of the socket; then it resets the
 *  connection. */
inline void limit_unacknowledged_time(int fd, duration limit) {
    const auto value = static_cast<unsigned>(to_ms(limit));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof value);
}

/*! @brief Whether closing the socket resets the connection, which discards what
 *  the peer has not acknowledged. Otherwise the kernel goes on delivering it.
 *  Also applies if the process ends without closing the socket. */
inline void reset_on_close(int fd, bool enabled) {
    const linger value{enabled ? 1 : 0, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &value, sizeof value);
}

/*! @brief Time since the kernel received data on the connection last, in steps
 *  of its timer; none if it does not tell. */
inline std::optional<duration> since_last_input(int fd) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::nullopt;
    return milliseconds{info.tcpi_last_data_recv};
}

/*! @brief Whether the peer has ended its side in order. The kernel reports a
 *  reset once, so it may show as an end of the input after a failed write. */
inline bool ended_in_order(int fd) {
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
           info.tcpi_state != TCP_CLOSE;
}

// Reads and drops input. A buffer is passed although a TCP socket needs none
// with MSG_TRUNC: other stacks than Linux's own write to it, and a null pointer
// then ends the process.
// Returns the bytes dropped; 0 at the end of the input, -1 with errno if there
// is none yet or the connection has failed.
inline ssize_t discard_input(int fd, std::size_t limit) {
    constexpr std::size_t piece_size = std::size_t{16} << 10U;
    std::array<char, piece_size> piece;
    std::size_t dropped = 0;
    while (dropped < limit) {
        const auto count =
            recv(fd, piece.data(), std::min(piece.size(), limit - dropped),
                 MSG_TRUNC | MSG_DONTWAIT);
        if (count <= 0)
            return dropped > 0 ? static_cast<ssize_t>(dropped) : count;
        dropped += static_cast<std::size_t>(count);
    }
    return static_cast<ssize_t>(dropped);
}

} // namespace skylark::io::internal

#endif
