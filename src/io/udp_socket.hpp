// UDP socket driven by the event loop.
#ifndef SKYLARK_IO_UDP_SOCKET_HPP
#define SKYLARK_IO_UDP_SOCKET_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>

#include <skylark/core/address.hpp>
#include <skylark/core/time.hpp>

namespace skylark::io {

class event_loop;

/*! @brief A received datagram. */
struct datagram {
    address m_from;
    std::span<const std::uint8_t> m_bytes; //!< valid only during the call
    //! Earliest time of its arrival if it may have waited during a pause of
    //! the process; none if it has just arrived.
    std::optional<time_point> m_arrived;
};

/*! @brief Sends and receives datagrams; bind() must be called first. */
class udp_socket {
public:
    using bytes = std::span<const std::uint8_t>;
    using handler = std::function<void(const datagram&)>;

    explicit udp_socket(event_loop& loop);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /*! @brief Binds the socket and starts receiving.
     *  @param local address to bind; port 0 selects a free one
     *  @param on_datagram gets each datagram
     *  @return the bound address, or an input_error with the reason */
    parsed<address> bind(address local, handler on_datagram);

    /*! @brief Sends one datagram; its loss on the way is not reported.
     *  @return false if the kernel did not accept it */
    bool send(address to, bytes payload);

    /*! @brief Handles a pause of the process, in which datagrams may have
     *  arrived that have not been read.
     *  @param begun when it began */
    void paused(time_point begun);

private:
    struct native;
    std::unique_ptr<native> m_native;
};

} // namespace skylark::io

#endif
