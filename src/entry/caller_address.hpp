// Address of an entry instance that callers can connect to.
#ifndef SKYLARK_ENTRY_CALLER_ADDRESS_HPP
#define SKYLARK_ENTRY_CALLER_ADDRESS_HPP

#include <string>

#include <skylark/core/address.hpp>

namespace skylark::entry {

/*! @brief One entry in the answer to a lookup. */
struct caller_address {
    address m_address;
    std::string m_zone; //!< availability zone; empty if unknown
};

} // namespace skylark::entry

#endif
