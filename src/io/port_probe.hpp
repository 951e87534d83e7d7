// Tells whether a local port is still held.
#ifndef SKYLARK_IO_PORT_PROBE_HPP
#define SKYLARK_IO_PORT_PROBE_HPP

#include <cstdint>
#include <system_error>

#include <skylark/core/address.hpp>

namespace skylark::io {

enum class transport : std::uint8_t { tcp, udp };

/*! @brief Binds a local address and releases it again; never listens.
 *  @param kind protocol of the port
 *  @param local address to try; port 0 is always free
 *  @return why the address is not to be had at present: it is in use, or not
 *  assigned; no error if it is free or the probe itself fails */
std::error_code probe_port(transport kind, address local);

} // namespace skylark::io

#endif
