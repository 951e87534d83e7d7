// Tells whether a local port is still held.
#include "io/port_probe.hpp"

#include <cerrno>
#include <unistd.h>

#include "io/native.hpp"

namespace skylark::io {

std::error_code probe_port(transport kind, address local) {
    const bool is_tcp = kind == transport::tcp;
    const int fd =
        socket(AF_INET, (is_tcp ? SOCK_STREAM : SOCK_DGRAM) | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return {};
    constexpr int on = 1;
    // As a listener does; for UDP it would share a port that is in use.
    if (is_tcp)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in name = internal::to_native(local);
    const auto* generic = reinterpret_cast<const sockaddr*>(&name);
    const int code = bind(fd, generic, sizeof name) == 0 ? 0 : errno;
    close(fd);
    if (code != EADDRINUSE && code != EADDRNOTAVAIL)
        return {};
    return {code, std::generic_category()};
}

} // namespace skylark::io
