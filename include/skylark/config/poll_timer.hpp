/*! @file
 *  Poll timer: limits how often an entry polls the store on its own.
 *
 *  An entry polls only while peers have confirmed nothing for the interval,
 *  and then once per interval. During an outage of the store hundreds of
 *  entries lose the confirmation at the same time, and each call is billed. */
#ifndef SKYLARK_CONFIG_POLL_TIMER_HPP
#define SKYLARK_CONFIG_POLL_TIMER_HPP

#include <algorithm>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Decides when an entry that does not watch the store polls it. */
class poll_timer {
public:
    /*! @param interval longest time without a confirmation or a poll of its own
     */
    explicit poll_timer(duration interval) : m_interval{interval} {}

    /*! @brief Starts the interval.
     *  @param now current time */
    void start(time_point now) { m_last_poll = now; }

    /*! @brief Whether to poll now; true restarts the interval.
     *  @param now current time
     *  @param age time since the newest confirmation */
    bool due(time_point now, duration age) {
        if (std::min(age, now - m_last_poll) <= m_interval)
            return false;
        m_last_poll = now;
        return true;
    }

private:
    duration m_interval;
    time_point m_last_poll; // or the start
};

} // namespace skylark

#endif
