// Version of the upstreams that a request is drawn for.
#ifndef SKYLARK_ENTRY_VERSION_CHOICE_HPP
#define SKYLARK_ENTRY_VERSION_CHOICE_HPP

#include <cstdint>

namespace skylark::entry {

/*! @brief Which upstreams of a service a request may use. */
enum class version_choice : std::uint8_t {
    any,     //!< no roll-out restricts it
    earlier, //!< all but those of the target version
    target   //!< those of the target version only
};

} // namespace skylark::entry

#endif
