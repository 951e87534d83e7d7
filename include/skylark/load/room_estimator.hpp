/*! @file
 *  Estimates how much room the upstreams of a service have, from the probes of
 *  one entry. Answers whether the service is overloaded right now: decisions
 *  that cost something below saturation depend on it. */
#ifndef SKYLARK_LOAD_ROOM_ESTIMATOR_HPP
#define SKYLARK_LOAD_ROOM_ESTIMATOR_HPP

#include <cmath>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Share of the probed upstreams that could have answered a new request
 *  in time; older probes count less. */
class room_estimator {
public:
    /*! @brief Adds the answer to a probe.
     *  @param now current time
     *  @param has_room whether a new request could have been answered in time
     */
    void add(time_point now, bool has_room) {
        decay(now);
        m_probed += 1.0;
        m_with_room += has_room ? 1.0 : 0.0;
    }

    /*! @brief Share of the probed upstreams with room, 0 to 1; near 1 without
     *  recent probes. */
    double share(time_point now) {
        decay(now);
        return m_with_room / m_probed;
    }

    /*! @brief Whether few upstreams have room. */
    bool scarce(time_point now) { return share(now) < scarce_below; }

private:
    // Slower than the changes of single upstreams, faster than a burst.
    static constexpr double decay_time = 0.5; // seconds
    // Assumed probes with room, towards which the estimate returns.
    static constexpr double assumed = 2.0;
    static constexpr double scarce_below = 0.4;

    void decay(time_point now) {
        const std::chrono::duration<double> elapsed = now - m_last;
        m_last = now;
        const double kept = std::exp(-elapsed.count() / decay_time);
        m_with_room = assumed + (m_with_room - assumed) * kept;
        m_probed = assumed + (m_probed - assumed) * kept;
    }

    // Invariant: 0 <= m_with_room <= m_probed, and m_probed >= assumed.
    double m_with_room{assumed};
    double m_probed{assumed};
    time_point m_last;
};

} // namespace skylark

#endif
