/*! @file
 *  Timing of the membership protocol, grouped for settings and tests. */
#ifndef SKYLARK_MEMBER_TIMING_HPP
#define SKYLARK_MEMBER_TIMING_HPP

#include <skylark/config/config.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Periods and timeouts of the membership protocol.
 *
 *  Safe only while m_hold_down >= m_self_stop + m_report_age plus the drift of
 *  two clocks over that time. */
struct member_timing {
    duration m_period{defaults::heartbeat_period};
    duration m_self_stop{defaults::share_self_stop};
    duration m_hold_down{defaults::share_hold_down};
    //! A peer's silence reports are counted for this long after its last
    //! heartbeat.
    duration m_report_age{milliseconds{600}};
};

} // namespace skylark

#endif
