/*! @file
 *  Availability zone as the operators declare it. */
#ifndef SKYLARK_CONFIG_ZONE_HPP
#define SKYLARK_CONFIG_ZONE_HPP

#include <cstdint>
#include <string>

namespace skylark {

/*! @brief Whether an availability zone takes new work. */
enum class zone_state : std::uint8_t { active, drained };

/*! @brief One availability zone. */
struct zone {
    std::string m_name;
    std::string m_region;
    zone_state m_state{zone_state::active};

    bool operator==(const zone&) const = default;
};

} // namespace skylark

#endif
