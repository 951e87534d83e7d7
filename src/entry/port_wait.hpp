// Waits for the ports of an entry, which its predecessor may still hold.
#ifndef SKYLARK_ENTRY_PORT_WAIT_HPP
#define SKYLARK_ENTRY_PORT_WAIT_HPP

#include <skylark/core/error.hpp>

#include "entry/settings.hpp"

namespace skylark::entry {

/*! @brief Waits until all ports of an entry are free; none is opened.
 *
 *  The kernel releases the ports of a process that was killed with a delay of
 *  up to seconds. The wait is logged at its begin and end, takes 15 s at most
 *  and ends early, without an error, once the process is told to stop.
 *  @param from addresses, and name and level of the log
 *  @return nothing, or the address that is still held */
parsed<void> wait_for_ports(const settings& from);

} // namespace skylark::entry

#endif
