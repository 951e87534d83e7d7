// A loopback address for each test process.
#ifndef TEST_IO_LOOPBACK_HPP
#define TEST_IO_LOOPBACK_HPP

#include <cstdint>
#include <sys/socket.h>
#include <unistd.h>

#include <skylark/core/address.hpp>

#include "io/native.hpp"

namespace skylark::test {

/*! @brief Address in 127.64.0.0/10 that no other test process uses. The kernel
 *  takes 127.0.0.1 for outgoing connections, so none of those can take a port
 *  here either. */
inline std::uint32_t process_loopback() {
    constexpr std::uint32_t network = 0x7f400000U;
    constexpr std::uint32_t host_mask = 0x003fffffU;
    return network | (static_cast<std::uint32_t>(getpid()) & host_mask);
}

/*! @brief Address with a port that is free for TCP and UDP, for settings that
 *  must name one before their owner listens there. */
inline address free_address() {
    for (;;) {
        const int stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto take = [](int fd, address where) {
            const sockaddr_in name = io::internal::to_native(where);
            return bind(fd, reinterpret_cast<const sockaddr*>(&name),
                        sizeof name) == 0;
        };
        const bool bound = take(stream, {process_loopback(), 0});
        const address out = io::internal::local_address(stream);
        const bool free = bound && take(datagram, out);
        close(stream);
        close(datagram);
        if (free)
            return out;
    }
}

} // namespace skylark::test

#endif
