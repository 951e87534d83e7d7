/*! @file
 *  Drain schedule: which requests an entry still passes on during its graceful
 *  shutdown, and when it may end.
 *
 *  Answers the load of callers that go on using an entry until its process is
 *  gone. What such a caller sends late cannot end before the process does, and
 *  another entry can serve it; so a request is passed on only if its deadline
 *  passes first. Everything else is refused while that is still true.
 *
 *  A process that was held up lately may be held up again until it is killed.
 *  So it ends sooner by as much, but not before the answers that name it have
 *  expired.
 *
 *  What is passed on is judged by the earliest time at which the signal may
 *  have been sent, as whoever sent it may count from then. What is in progress
 *  may use the time until the latest one, as it was passed on before. */
#ifndef SKYLARK_LIMIT_DRAIN_SCHEDULE_HPP
#define SKYLARK_LIMIT_DRAIN_SCHEDULE_HPP

#include <algorithm>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>
#include <skylark/limit/signal_span.hpp>

namespace skylark {

/*! @brief Times of one graceful shutdown. */
class drain_schedule {
public:
    /*! @brief Plans a shutdown.
     *  @param now current time
     *  @param told when the entry was told to end
     *  @param address_ttl how long callers may use addresses that they got
     *  before
     *  @param limit time within which the process must have ended; exceeded if
     *  a pause left too little for what has become ready meanwhile
     *  @param longest_hold_up of the process lately */
    constexpr drain_schedule(time_point now, signal_span told,
                             duration address_ttl, duration limit,
                             duration longest_hold_up = duration{0})
        : m_addresses_expire{now + address_ttl}, m_limit{std::max(
                                                     told.m_earliest + limit,
                                                     now + 2 * delivery_time)},
          m_end{end_with(longest_hold_up)},
          m_latest_end{std::max(told.m_latest + limit, m_limit)} {}

    /*! @brief Handles that the process was held up until now.
     *  @param now current time
     *  @param length of the hold-up */
    constexpr void held_up(time_point now, duration length) {
        m_end = std::min(m_end,
                         std::max(end_with(length), now + 2 * delivery_time));
    }

    /*! @brief Whether a request may be passed on to an upstream.
     *  @param deadline until when the upstream may work on it */
    [[nodiscard]] constexpr bool may_pass_on(time_point deadline) const {
        return deadline <= m_end - delivery_time;
    }

    /*! @brief Whether the connections of callers must be closed, whatever is in
     *  progress: requests whose answers are due may still end. */
    [[nodiscard]] constexpr bool must_close(time_point now) const {
        return now >= m_end - delivery_time;
    }

    /*! @brief Whether the entry is no longer needed.
     *  @param now current time
     *  @param idle whether no request is in progress
     *  @param since_last_admission time since a request was admitted last; a
     *  caller that can only be refused does better elsewhere */
    [[nodiscard]] constexpr bool quiet(time_point now, bool idle,
                                       duration since_last_admission) const {
        return idle && now >= m_addresses_expire + quiet_time &&
               since_last_admission >= quiet_time;
    }

    /*! @brief Whether the process ends although connections are open.
     *  @param now current time
     *  @param last_in_progress when a request was in progress last */
    [[nodiscard]] constexpr bool may_end(time_point now,
                                         time_point last_in_progress) const {
        return expired(now) ||
               (now >= m_end && now - last_in_progress >= delivery_time);
    }

    /*! @brief Whether the process must end, whatever is in progress. */
    [[nodiscard]] constexpr bool expired(time_point now) const {
        return now >= m_latest_end;
    }

private:
    // From a request's deadline until its caller has the answer that says so,
    // and from the close of a connection until its caller knows of it.
    static constexpr duration delivery_time = milliseconds{100};
    // Callers that the entry still serves send more often than this.
    static constexpr duration quiet_time = milliseconds{300};

    [[nodiscard]] constexpr time_point end_with(duration hold_up) const {
        return std::min(m_limit, std::max(m_limit - hold_up,
                                          m_addresses_expire + quiet_time));
    }

    time_point m_addresses_expire;
    time_point m_limit; // by the earliest time of the signal
    // Until when the entry may be of use. Invariant: not after m_limit.
    time_point m_end;
    // By the latest time of the signal; the same as m_limit unless a pause
    // hides when it was sent.
    time_point m_latest_end;
};

} // namespace skylark

#endif
