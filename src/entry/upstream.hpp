/*! @file
 *  State that an entry keeps for one upstream. */
#ifndef SKYLARK_ENTRY_UPSTREAM_HPP
#define SKYLARK_ENTRY_UPSTREAM_HPP

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>
#include <skylark/load/availability.hpp>
#include <skylark/load/health_record.hpp>
#include <skylark/load/upstream_load.hpp>
#include <skylark/share/kind.hpp>

namespace skylark::entry {

/*! @brief An open connection without a request. */
struct idle_connection {
    connection_id m_connection;
    time_point m_answered; //!< end of its last response
};

/*! @brief State of one upstream. */
struct upstream {
    upstream_id m_id;       //!< of one incarnation of the instance, see id_of()
    std::string m_instance; //!< instance id given by the platform
    address m_address;
    std::string m_service;
    std::string m_zone;
    std::string m_version;                 //!< of its software; may be empty
    bool m_leaving{};                      //!< according to the instance list
    bool m_listed{true};                   //!< in the current instance list
    std::optional<time_point> m_gone_from; //!< see instance::m_gone_from
    //! When it was first listed; absent if the table was empty then, so that
    //! an entry that starts does not take all upstreams for new ones.
    std::optional<time_point> m_joined;
    bool m_zone_active{true}; //!< its zone is declared and active
    std::uint32_t
        m_preference{}; //!< position in this entry's order; 0 is first
    upstream_load m_load;
    //! End of its cold start, during which a service without shares sends it
    //! no requests; from the instance list and health checks.
    time_point m_cold_until;
    time_point m_listed_cold_until; //!< latest value in the instance list
    health_record m_health;
    availability m_availability;
    bool m_malformed_rest{}; //!< asked for one that could not be read
    bool m_other_instance{}; //!< another instance answered at its address
    //! Its health checks carry no load report, so probes give no load.
    bool m_omits_load{};
    std::vector<idle_connection> m_idle; // oldest first
    // Invariant: number of open connections, idle or in use.
    std::uint32_t m_connections{};
    //! Requests that use a share of this upstream, by kind.
    std::array<std::uint32_t, share_kind_count> m_share_use{};
    upstream_state m_last_state{upstream_state::cold}; // last logged

    /*! @brief Whether the instance list allows its use at a time. */
    [[nodiscard]] bool listed(time_point now) const {
        return m_listed && (!m_gone_from || now < *m_gone_from);
    }

    /*! @brief Whether it may get new requests at a time, by the instance list,
     *  the configuration and its own word, whatever its load. */
    [[nodiscard]] bool eligible(time_point now) const {
        return listed(now) && !m_leaving && m_zone_active &&
               m_availability.usable(now);
    }

    /*! @brief Number of requests that use a share of a kind. */
    std::uint32_t& share_use(share_kind kind) {
        return m_share_use[static_cast<std::size_t>(kind)];
    }
};

} // namespace skylark::entry

#endif
