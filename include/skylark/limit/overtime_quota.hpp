/*! @file
 *  Overtime quota: how many slow answers may go on beyond their deadline.
 *
 *  A route's deadline is the longest time that its operator wants callers to
 *  wait. Most requests that reach it have to end then; a few that are near
 *  their end need not. Reads no clock: time is an argument. */
#ifndef SKYLARK_LIMIT_OVERTIME_QUOTA_HPP
#define SKYLARK_LIMIT_OVERTIME_QUOTA_HPP

#include <algorithm>
#include <cstddef>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Limits answers beyond their deadline to a quarter of the requests
 *  that reach it, or to a few of the fleet. */
class overtime_quota {
public:
    /*! @brief An answer is still coming behind its deadline.
     *  @param now current time */
    constexpr void reached(time_point now) {
        if (now - m_last > quiet_time)
            m_reached = m_granted = 0;
        m_last = now;
        ++m_reached;
    }

    /*! @brief Lets an answer go on that reached() has counted.
     *  @param members entries among which the few are divided */
    constexpr bool try_grant(std::size_t members) {
        const std::size_t few =
            fleet_minimum / std::max<std::size_t>(1, members);
        if (m_granted >= few && (m_granted + 1) * least_reached > m_reached)
            return false;
        grant();
        return true;
    }

    /*! @brief Counts an answer that goes on whatever the quota is. */
    constexpr void grant() { ++m_granted; }

private:
    static constexpr std::size_t fleet_minimum = 7;
    static constexpr std::size_t least_reached = 4; // for each one granted
    // Behind this time without such an answer the counts begin anew.
    static constexpr duration quiet_time = seconds{60};

    time_point m_last{};
    std::size_t m_reached{};
    std::size_t m_granted{};
};

} // namespace skylark

#endif
