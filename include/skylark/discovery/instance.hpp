/*! @file
 *  Instance as the platform lists it; the list lags and is only a hint. */
#ifndef SKYLARK_DISCOVERY_INSTANCE_HPP
#define SKYLARK_DISCOVERY_INSTANCE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What an instance is for. */
enum class instance_role : std::uint8_t { upstream, entry };

/*! @brief One instance. */
struct instance {
    std::string m_id;
    instance_role m_role{instance_role::upstream};
    address m_address;     //!< requests; heartbeats for an entry
    std::string m_service; //!< empty for an entry
    std::string m_zone;
    bool m_leaving{};
    //! Changes when an instance starts again under its id; 0: not told.
    std::uint64_t m_incarnation{};
    //! End of its cold start; the epoch when it is not cold.
    time_point m_cold_until;
    //! Its record lapsed around an outage of the store: not to be used from
    //! then on, unless it is listed again.
    std::optional<time_point> m_gone_from;

    bool operator==(const instance&) const = default;
};

/*! @brief The list at one moment. */
struct instance_list {
    std::uint64_t m_index{}; //!< grows with each change
    std::vector<instance> m_instances;

    bool operator==(const instance_list&) const = default;
};

} // namespace skylark

#endif
