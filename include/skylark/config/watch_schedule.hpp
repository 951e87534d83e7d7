/*! @file
 *  Watch schedule: when an entry calls the store.
 *
 *  Covers three cases:
 *  - The store rejects the watching entries: others replace them at once.
 *  - The store is down for all: hundreds of entries must call rarely, as each
 *    call is billed.
 *  - Entries start: one at a time, next to peers that already have the data,
 *    or all together, with no peer to get it from. */
#ifndef SKYLARK_CONFIG_WATCH_SCHEDULE_HPP
#define SKYLARK_CONFIG_WATCH_SCHEDULE_HPP

#include <skylark/config/poll_timer.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Inputs to the decision whether to call the store. */
struct watch_state {
    bool m_elected{};        //!< first in its zone that reaches the store
    bool m_store_lost{};     //!< see store_reachability
    duration m_age{};        //!< of the newest confirmation, own or a peer's
    bool m_has_value{true};  //!< holds some version of the value
    bool m_peer_has_value{}; //!< a peer reported that it holds one
    //! A peer has a newer value, and peers do not deliver it in time.
    bool m_overdue{};
};

/*! @brief Schedules one kind of store call. */
class watch_schedule {
public:
    /*! @param fallback_interval longest time without a confirmation after which
     *  an entry that is not elected calls the store */
    explicit watch_schedule(duration fallback_interval)
        : m_fallback{fallback_interval} {}

    /*! @brief Time from the start of an entry to its first store call.
     *  @param bootstrap whether the whole deployment starts */
    static constexpr duration start_delay(bool bootstrap) {
        return bootstrap ? bootstrap_delay : join_delay;
    }

    /*! @brief Starts the schedule.
     *  @param now current time
     *  @param bootstrap whether the whole deployment starts */
    void start(time_point now, bool bootstrap) {
        m_fallback.start(now);
        m_recheck.start(now);
        m_earliest_call = now + start_delay(bootstrap);
        m_peer_wait_end = now + peer_wait_limit;
    }

    /*! @brief Whether to call the store now; true counts as a call.
     *  @param now current time
     *  @param state inputs to the decision */
    bool due(time_point now, const watch_state& state) {
        if (now < m_earliest_call ||
            (!state.m_has_value && waits_for_peers(now, state)))
            return false;
        if (state.m_elected)
            return true;
        if (state.m_store_lost)
            return m_recheck.due(now, duration::max());
        if (state.m_overdue)
            return m_catch_up.due(now, duration::max());
        return m_fallback.due(now, state.m_age);
    }

private:
    // How often an entry that the store rejects tries again. Others watch in
    // the meantime, and a failed call is billed like any other.
    static constexpr duration recheck_period{seconds{15}};
    // Between the calls for a value that peers do not deliver.
    static constexpr duration catch_up_period{seconds{1}};
    // When all entries start together, they have discovered each other and
    // elected the watchers after this time.
    static constexpr duration bootstrap_delay{seconds{1}};
    // Time for a reply to the first heartbeat, which a peer with newer data
    // sends at once; ten round trips between zones. After a loss of power in
    // the whole deployment no peer replies, and callers are refused until then.
    static constexpr duration join_delay{milliseconds{30}};
    // A transfer from a peer that takes longer is taken for failed.
    static constexpr duration peer_wait_limit{seconds{1}};

    [[nodiscard]] bool waits_for_peers(time_point now,
                                       const watch_state& state) const {
        return state.m_peer_has_value && now < m_peer_wait_end;
    }

    poll_timer m_fallback;
    poll_timer m_recheck{recheck_period};
    poll_timer m_catch_up{catch_up_period};
    time_point m_earliest_call; // no call before this
    time_point m_peer_wait_end; // no wait for peers after this
};

} // namespace skylark

#endif
