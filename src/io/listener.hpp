// Opens a listening TCP socket.
#ifndef SKYLARK_IO_LISTENER_HPP
#define SKYLARK_IO_LISTENER_HPP

#include <skylark/core/address.hpp>

namespace skylark::io::internal {

/*! @brief Buffers of accepted connections in bytes; 0: kernel's default. */
struct buffer_sizes {
    int m_send{};    //!< SO_SNDBUF
    int m_receive{}; //!< SO_RCVBUF
};

/*! @brief Opens a non-blocking listening socket. Accepted connections keep a
 *  bounded number of bytes that were written and not sent.
 *  @param local address to bind; port 0 selects a free one
 *  @param buffers of accepted connections
 *  @return the descriptor, or an input_error with the reason */
parsed<int> open_listener(address local, const buffer_sizes& buffers = {});

} // namespace skylark::io::internal

#endif
