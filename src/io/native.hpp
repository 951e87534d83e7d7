// The only file that includes h2o, and conversions of socket addresses.
// Private to the io module.
#ifndef SKYLARK_IO_NATIVE_HPP
#define SKYLARK_IO_NATIVE_HPP

#define H2O_USE_LIBUV 0
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#include <h2o.h>
#pragma GCC diagnostic pop

#include <netinet/in.h>

#include <skylark/core/address.hpp>

namespace skylark::io::internal {

/*! @brief Converts an address to the form that the socket calls take. */
inline sockaddr_in to_native(address from) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(from.m_port);
    out.sin_addr.s_addr = htonl(from.m_ip);
    return out;
}

/*! @brief Converts an IPv4 socket address. */
inline address from_native(const sockaddr_in& from) {
    return {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)};
}

/*! @brief Address that a socket is bound to.
 *  @param fd IPv4 socket
 *  @return the address, all zero if the system call fails */
inline address local_address(int fd) {
    sockaddr_in name{};
    socklen_t length = sizeof name;
    getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length);
    return from_native(name);
}

} // namespace skylark::io::internal

#endif
