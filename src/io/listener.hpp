// Listening TCP socket.
#ifndef SKYLARK_IO_LISTENER_HPP
#define SKYLARK_IO_LISTENER_HPP

#include <skylark/core/address.hpp>

namespace skylark::io::internal {

/*! @brief Opens a listening socket that does not block.
 *  @param where address; port 0 takes a free one
 *  @return the descriptor, or why the address cannot be used */
parsed<int> open_listener(address where);

} // namespace skylark::io::internal

#endif
