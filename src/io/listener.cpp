// Opens a listening TCP socket.
#include "io/listener.hpp"

#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <unistd.h>

#include "io/native.hpp"

namespace skylark::io::internal {

namespace {
// Bytes that the kernel keeps for a caller behind what it has sent. Without a
// limit its buffer grows to megabytes for each caller that reads nothing, which
// no limit of the process counts.
constexpr int unsent_limit = 128 << 10;
} // namespace

parsed<int> open_listener(address local, const buffer_sizes& buffers) {
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    constexpr int on = 1;
    constexpr int backlog = 1024;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent_limit,
               sizeof unsent_limit);
    // Before listen(): what a connection announces follows from it.
    if (buffers.m_send > 0)
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffers.m_send,
                   sizeof buffers.m_send);
    if (buffers.m_receive > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffers.m_receive,
                   sizeof buffers.m_receive);
    const sockaddr_in name = to_native(local);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    if (bind(fd, generic, sizeof name) == 0 && listen(fd, backlog) == 0)
        return fd;
    const int code = errno;
    close(fd);
    return input_error{"listen", local.text(),
                       std::string{"a free local address ("} +
                           std::strerror(code) + ")"};
}

} // namespace skylark::io::internal
