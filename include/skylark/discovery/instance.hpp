/*! @file
 *  Instance as the platform lists it. The list lags and may be wrong. */
#ifndef SKYLARK_DISCOVERY_INSTANCE_HPP
#define SKYLARK_DISCOVERY_INSTANCE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/store_position.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Role of an instance. */
enum class instance_role : std::uint8_t { upstream, entry };

/*! @brief One instance. */
struct instance {
    std::string m_id;
    instance_role m_role{instance_role::upstream};
    address m_address;     //!< for requests; an entry's: for heartbeats
    std::string m_service; //!< empty for an entry
    std::string m_zone;
    std::string m_version; //!< of its software; may be empty
    bool m_leaving{};
    //! Changes when an instance restarts under its id; 0: unknown.
    std::uint64_t m_incarnation{};
    //! Number of the report within the incarnation, rising; 0: unknown.
    std::uint64_t m_sequence{};
    //! End of its cold start; the epoch when it is warm.
    time_point m_cold_until;
    //! Set when its record expired around an outage of the store: it must not
    //! be used from this time on, unless it is listed again.
    std::optional<time_point> m_gone_from;

    bool operator==(const instance&) const = default;
};

/*! @brief One version of the list. */
struct instance_list {
    store_position m_index; //!< increases with each change
    std::vector<instance> m_instances;

    bool operator==(const instance_list&) const = default;
};

} // namespace skylark

#endif
