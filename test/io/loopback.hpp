// A loopback address for each test process.
#ifndef TEST_IO_LOOPBACK_HPP
#define TEST_IO_LOOPBACK_HPP

#include <cstdint>
#include <sys/socket.h>
#include <unistd.h>

#include <skylark/core/address.hpp>

#include "io/native.hpp"

namespace skylark::test {

/*! @brief Address in 127.64.0.0/10 that no other test process uses. */
inline std::uint32_t process_loopback() {
    constexpr std::uint32_t network = 0x7f400000U;
    constexpr std::uint32_t host_mask = 0x003fffffU;
    return network | (static_cast<std::uint32_t>(getpid()) & host_mask);
}

/*! @brief Address with a port that is free for TCP and UDP, for settings that
 *  must name one before their owner listens there. Different in each call, and
 *  below the ports that the kernel gives to outgoing connections. */
inline address free_address() {
    static std::uint16_t port = 10000;
    const auto is_free = [](address where, int type) {
        const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
        const sockaddr_in name = io::internal::to_native(where);
        const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&name),
                                sizeof name) == 0;
        close(fd);
        return bound;
    };
    for (;;) {
        const address out{process_loopback(), ++port};
        if (is_free(out, SOCK_STREAM) && is_free(out, SOCK_DGRAM))
            return out;
    }
}

} // namespace skylark::test

#endif
