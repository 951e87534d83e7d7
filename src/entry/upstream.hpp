// One upstream as the entry keeps it.
#ifndef SKYLARK_ENTRY_UPSTREAM_HPP
#define SKYLARK_ENTRY_UPSTREAM_HPP

#include <array>
#include <optional>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>
#include <skylark/load/upstream_load.hpp>
#include <skylark/share/kind.hpp>

namespace skylark::entry {

/*! @brief A connection that waits for its next request. */
struct idle_connection {
    connection_id m_connection;
    time_point m_answered; //!< when its last answer ended
};

/*! @brief One upstream. */
struct upstream {
    upstream_id m_id;       //!< of one life of the instance, see id_of()
    std::string m_instance; //!< the instance's id as the platform gives it
    address m_address;
    std::string m_service;
    std::string m_zone;
    bool m_leaving{}; //!< the platform's list or its own report says so
    bool m_listed{true};
    std::optional<time_point> m_gone_from; //!< see instance
    //! When it joined; none for those that were there before this entry.
    std::optional<time_point> m_joined;
    bool m_zone_active{true};
    std::uint32_t m_preference{}; //!< position in this entry's own order
    upstream_load m_load;
    //! End of its cold start, for services that rest meanwhile.
    time_point m_cold_until;
    time_point m_told_cold_until; //!< newest that the list said
    //! Its last health check failed, or it said that it was another one.
    bool m_unhealthy{};
    //! Its answers carry no load: asking for it tells nothing.
    bool m_silent_load{};
    std::vector<idle_connection> m_idle; // oldest first
    // Invariant: idle connections and those with an attempt.
    std::uint32_t m_connections{};
    //! Requests that use a share of this upstream, by kind.
    std::array<std::uint32_t, share_kind_count> m_share_use{};
    upstream_state m_last_state{upstream_state::cold}; // for events

    /*! @brief Whether the platform's list names it for use. */
    [[nodiscard]] bool listed(time_point now) const {
        return m_listed && (!m_gone_from || now < *m_gone_from);
    }

    std::uint32_t& share_use(share_kind kind) {
        return m_share_use[static_cast<std::size_t>(kind)];
    }
};

} // namespace skylark::entry

#endif
