// Datagrams on the loop.
#ifndef SKYLARK_IO_UDP_SOCKET_HPP
#define SKYLARK_IO_UDP_SOCKET_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include <skylark/core/address.hpp>

namespace skylark::io {

class event_loop;

/*! @brief One bound UDP socket. */
class udp_socket {
public:
    using bytes = std::span<const std::uint8_t>;
    using handler = std::function<void(address, bytes)>;

    explicit udp_socket(event_loop& loop);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /*! @brief Binds and starts receiving.
     *  @param where address; port 0 takes a free one
     *  @param who gets sender and payload
     *  @return the address in use, or the error */
    parsed<address> bind(address where, handler who);

    /*! @brief Sends one datagram; loss is not reported.
     *  @return false when the kernel refused it */
    bool send(address to, bytes payload);

private:
    struct native;
    std::unique_ptr<native> m_native;
};

} // namespace skylark::io

#endif
