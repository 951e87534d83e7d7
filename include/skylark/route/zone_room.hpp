/*! @file
 *  What one entry knows of the room that the upstreams of a service have in one
 *  zone, and whether the zone answers at all. */
#ifndef SKYLARK_ROUTE_ZONE_ROOM_HPP
#define SKYLARK_ROUTE_ZONE_ROOM_HPP

#include <algorithm>
#include <cmath>
#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Share of the probes of one zone that found timely room; older probes
 *  count less, and without recent ones the zone is assumed to have room.
 *
 *  load/room_estimator answers the same for all zones within half a second. A
 *  zone that is avoided gets few probes, so this one remembers longer. */
class zone_room {
public:
    /*! @brief Adds the answer to a probe.
     *  @param now current time
     *  @param has_room whether a new request could have been answered in time
     */
    void answered(time_point now, bool has_room) {
        add(now, has_room);
        m_unanswered = 0;
        m_retry_after = first_retry;
        m_retry_at.reset();
    }

    /*! @brief Adds a probe that was not answered in time; counts as one without
     *  room. */
    void unanswered(time_point now) {
        add(now, false);
        if (++m_unanswered < silent_after || (m_retry_at && now < *m_retry_at))
            return;
        m_retry_at = now + m_retry_after;
        m_retry_after = std::min(2 * m_retry_after, last_retry);
    }

    /*! @brief Share of the probes with room, 0 to 1. */
    [[nodiscard]] double share(time_point now) const {
        const double kept = kept_since(now);
        return (m_with_room * kept + assumed) / (m_probed * kept + assumed);
    }

    /*! @brief Whether the zone has not answered lately and is not due for
     *  another try. */
    [[nodiscard]] bool silent(time_point now) const {
        return m_retry_at && now < *m_retry_at;
    }

private:
    // An entry that avoids a zone sends it about two probes a second.
    static constexpr double decay_time = 2.0; // seconds
    // Assumed probes with room.
    static constexpr double assumed = 0.5;
    // Two steps of probes: one may have met three dead upstreams of many.
    static constexpr unsigned silent_after = 6;
    static constexpr duration first_retry = milliseconds{250};
    static constexpr duration last_retry = seconds{2};

    [[nodiscard]] double kept_since(time_point now) const {
        const std::chrono::duration<double> elapsed = now - m_last;
        return std::exp(-std::max(0.0, elapsed.count()) / decay_time);
    }

    void add(time_point now, bool has_room) {
        const double kept = kept_since(now);
        m_last = now;
        m_probed = m_probed * kept + 1.0;
        m_with_room = m_with_room * kept + (has_room ? 1.0 : 0.0);
    }

    // Invariant: 0 <= m_with_room <= m_probed.
    double m_with_room{};
    double m_probed{};
    time_point m_last;
    unsigned m_unanswered{}; // in a row
    std::optional<time_point> m_retry_at;
    duration m_retry_after{first_retry};
};

} // namespace skylark

#endif
