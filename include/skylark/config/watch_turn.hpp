/*! @file
 *  Watch turn: when an entry asks the store for itself and for others.
 *
 *  Answers three loads: a store that turns the watchers away, which others have
 *  to replace at once; one that is away for everybody, where each call of
 *  hundreds of entries is paid for; and entries that start, one after the other
 *  beside peers that know everything, or all at once with nobody to ask. */
#ifndef SKYLARK_CONFIG_WATCH_TURN_HPP
#define SKYLARK_CONFIG_WATCH_TURN_HPP

#include <skylark/config/trust.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What an entry knows when it decides whether to ask. */
struct watch_state {
    bool m_elected{};    //!< first of its zone among those that are answered
    bool m_store_lost{}; //!< see store_reach
    duration m_age{};    //!< of the newest confirmation, its own or a peer's
    bool m_knows{true};  //!< has what is asked for, in some version
    bool m_peer_knows{}; //!< a peer that has it was heard
};

/*! @brief Decides for one kind of call. */
class watch_turn {
public:
    /*! @param longest time without a confirmation before an entry that is not
     *  elected asks */
    explicit watch_turn(duration longest) : m_trust{longest} {}

    /*! @brief Begins to count.
     *  @param now the present
     *  @param bootstrap whether the whole deployment starts */
    void start(time_point now, bool bootstrap) {
        m_trust.start(now);
        m_recheck.start(now);
        m_first = now + (bootstrap ? meeting_time : greeting_time);
        m_alone = now + peers_time;
    }

    /*! @brief Whether to ask now; true counts as a call.
     *  @param now the present
     *  @param state what is known */
    bool due(time_point now, const watch_state& state) {
        if (now < m_first || (!state.m_knows && waits_for_peers(now, state)))
            return false;
        if (state.m_elected)
            return true;
        if (state.m_store_lost)
            return m_recheck.ask(now, duration::max());
        return m_trust.ask(now, state.m_age);
    }

private:
    // Others watch meanwhile; a call that fails is paid for like any other.
    static constexpr duration recheck_period{seconds{15}};
    // When all entries start together they know each other after this time,
    // and which of them watch the store.
    static constexpr duration meeting_time{seconds{1}};
    // A peer that knows more answers the first heartbeat at once; five round
    // trips between zones.
    static constexpr duration greeting_time{milliseconds{100}};
    // What a peer has is here within this time, or something went wrong.
    static constexpr duration peers_time{seconds{1}};

    [[nodiscard]] bool waits_for_peers(time_point now,
                                       const watch_state& state) const {
        return state.m_peer_knows && now < m_alone;
    }

    trust m_trust;
    trust m_recheck{recheck_period};
    time_point m_first; // no call before
    time_point m_alone; // from here on peers are not waited for
};

} // namespace skylark

#endif
