// An address that callers may use.
#ifndef SKYLARK_ENTRY_CALLER_ADDRESS_HPP
#define SKYLARK_ENTRY_CALLER_ADDRESS_HPP

#include <string>

#include <skylark/core/address.hpp>

namespace skylark::entry {

/*! @brief One entry as a lookup's answer names it. */
struct caller_address {
    address m_address;
    std::string m_zone; //!< empty when it is not known
};

} // namespace skylark::entry

#endif
