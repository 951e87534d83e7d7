// Receive buffers of connections whose descriptors are hidden in the process.
#ifndef TEST_IO_RECEIVE_BUFFER_HPP
#define TEST_IO_RECEIVE_BUFFER_HPP

#include <cstddef>
#include <sys/socket.h>

#include <skylark/core/address.hpp>

#include "io/native.hpp"

namespace skylark::test {

/*! @brief Descriptor of this process whose connection leads to an address.
 *  @return -1 without one */
inline int descriptor_to(address peer) {
    constexpr int most = 4096;
    for (int fd = 0; fd < most; ++fd) {
        sockaddr_in name{};
        socklen_t size = sizeof name;
        if (getpeername(fd, reinterpret_cast<sockaddr*>(&name), &size) == 0 &&
            name.sin_family == AF_INET &&
            io::internal::from_native(name) == peer)
            return fd;
    }
    return -1;
}

/*! @brief Bytes that the kernel reserves for the input of a connection to an
 *  address; 0 without one. */
inline std::size_t receive_buffer_to(address peer) {
    int bytes = 0;
    socklen_t size = sizeof bytes;
    getsockopt(descriptor_to(peer), SOL_SOCKET, SO_RCVBUF, &bytes, &size);
    return static_cast<std::size_t>(bytes);
}

} // namespace skylark::test

#endif
