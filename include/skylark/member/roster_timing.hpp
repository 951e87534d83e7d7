/*! @file
 *  Timing and limits of the roster, grouped for settings and tests. */
#ifndef SKYLARK_MEMBER_ROSTER_TIMING_HPP
#define SKYLARK_MEMBER_ROSTER_TIMING_HPP

#include <cstddef>

#include <skylark/config/config.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Periods, timeouts and limits of the roster protocol. */
struct roster_timing {
    duration m_period{defaults::heartbeat_period};
    //! A relay sends reports every this many rounds, and whenever a member
    //! changed.
    std::size_t m_report_rounds{2};
    //! A relay that has not answered for this long is replaced; allows for two
    //! rounds and one lost heartbeat.
    duration m_relay_timeout{milliseconds{500}};
    //! A replaced relay is avoided for this long.
    duration m_relay_retry_delay{seconds{3}};
    //! A relay reports a subscribed member as missed after this long without
    //! heartbeats; allows for two lost ones.
    duration m_missing_timeout{milliseconds{700}};
    //! A member without evidence of life for this long is not live. Reports
    //! from another zone pass two relays, 1.2 s; a failed relay on the way
    //! doubles that.
    duration m_stale_timeout{milliseconds{2500}};
    //! A member that nobody has heard from for this long is removed. Until then
    //! parts of the fleet that lost each other's relays can reconnect.
    duration m_removal_timeout{seconds{10}};
    //! A removed member is remembered for this long, so that heartbeats that
    //! were held up do not add it again.
    duration m_removal_memory{seconds{60}};
    //! Relays that each member of a zone subscribes to.
    std::size_t m_relays_per_zone{2};
    //! Addresses without a known member that are contacted in one round; the
    //! limit spreads the load of a start.
    std::size_t m_discovery_batch{3};
};

} // namespace skylark

#endif
