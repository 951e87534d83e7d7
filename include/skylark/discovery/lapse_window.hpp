/*! @file
 *  Lapse window: after an outage of the store, the time in which a missing
 *  record proves nothing.
 *
 *  Owners renew the leases of their records. An outage that lasts as long as
 *  the interval between renewals may let the leases of live owners lapse; they
 *  write their records again soon after it. A shorter break cannot: an owner
 *  misses at most one renewal in it, and leases last for three intervals. A
 *  single call that failed is therefore no outage as long as any entry has
 *  reached the store meanwhile. */
#ifndef SKYLARK_DISCOVERY_LAPSE_WINDOW_HPP
#define SKYLARK_DISCOVERY_LAPSE_WINDOW_HPP

#include <algorithm>
#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Times that the lapse window depends on. */
struct lapse_timing {
    duration m_renewal_interval{milliseconds{1500}}; //!< of the records' owners
    //! Time after the end of an outage in which live owners have written their
    //! records again.
    duration m_rewrite_time{milliseconds{2200}};
    //! Longest delay of a removal that became known after the end of an
    //! outage: the time within which removals must be in force, less that for
    //! learning of them.
    duration m_longest_delay{milliseconds{1600}};
};

/*! @brief Decides from when on the removal of a record is in force. */
class lapse_window {
public:
    explicit lapse_window(const lapse_timing& timing) : m_timing{timing} {}

    /*! @brief The store is known to have worked, from a call of another entry.
     *  @param at latest time at which it can have answered */
    void confirmed(time_point at) {
        m_confirmed = std::max(m_confirmed.value_or(at), at);
    }

    /*! @brief A call of this entry failed. */
    void call_failed() { m_failed = true; }

    /*! @brief A call of this entry was answered. After an outage, the window
     *  begins.
     *  @param now current time */
    void call_succeeded(time_point now) {
        const duration gap = now - m_confirmed.value_or(now);
        // Without a failed call of its own, an entry that took over the watch
        // cannot tell an outage from the time that the hand-over took.
        const auto least = m_failed ? m_timing.m_renewal_interval
                                    : 2 * m_timing.m_renewal_interval;
        if (gap >= least) {
            m_end = now + m_timing.m_rewrite_time;
            m_catching_up = true;
        }
        m_failed = false;
        confirmed(now);
    }

    /*! @brief The changes made during an outage are known completely; further
     *  removals were made after it. */
    void caught_up() { m_catching_up = false; }

    /*! @brief From when on a removal that has become known now is in force.
     *  @param now current time
     *  @return none if it is in force at once */
    [[nodiscard]] std::optional<time_point> removal_due(time_point now) const {
        if (now >= m_end)
            return std::nullopt;
        if (m_catching_up)
            return m_end;
        return std::min(m_end, now + m_timing.m_longest_delay);
    }

private:
    lapse_timing m_timing;
    std::optional<time_point>
        m_confirmed;  // the store last worked, for any entry
    time_point m_end; // of the window
    bool m_failed{};  // the last call of this entry
    bool m_catching_up{};
};

} // namespace skylark

#endif
