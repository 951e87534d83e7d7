/*! @file
 *  Times and counts of the roster, as one value for settings and tests. */
#ifndef SKYLARK_MEMBER_ROSTER_TIMING_HPP
#define SKYLARK_MEMBER_ROSTER_TIMING_HPP

#include <cstddef>

#include <skylark/config/config.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Periods and limits. */
struct roster_timing {
    duration m_period{defaults::heartbeat_period};
    //! A relay reports on others in each such round, and when one changed.
    std::size_t m_report_rounds{2};
    //! A relay that has not answered for this long is replaced: two rounds
    //! and one lost heartbeat.
    duration m_relay_patience{milliseconds{500}};
    //! A replaced relay is not tried again for this long.
    duration m_relay_rest{seconds{3}};
    //! A relay misses a member that has stopped its heartbeats for this long;
    //! two of them may be lost.
    duration m_missing{milliseconds{700}};
    //! A member of another zone is two reports away, 1.2 s; a dead relay in
    //! between takes as long again.
    duration m_stale{milliseconds{2500}};
    //! A member that nobody has heard for this long is forgotten. Parts of the
    //! fleet that lost each other's relays find together until then.
    duration m_forget{seconds{10}};
    //! Whom each member of a zone reports to.
    std::size_t m_relays{2};
    //! Unlisted addresses tried in one round; spreads the work of a start.
    std::size_t m_tries{3};
};

} // namespace skylark

#endif
