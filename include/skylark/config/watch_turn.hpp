/*! @file
 *  Watch turn: when an entry asks the store for itself and for others.
 *
 *  Answers two loads: a store that turns the watchers away, which others have
 *  to replace at once, and one that is away for everybody, where each call of
 *  hundreds of entries is paid for. */
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
};

/*! @brief Decides for one kind of call. */
class watch_turn {
public:
    /*! @param longest time without a confirmation before an entry that is not
     *  elected asks */
    explicit watch_turn(duration longest) : m_trust{longest} {}

    /*! @brief Begins to count.
     *  @param now the present */
    void start(time_point now) {
        m_trust.start(now);
        m_recheck.start(now);
    }

    /*! @brief Whether to ask now; true counts as a call.
     *  @param now the present
     *  @param state what is known */
    bool due(time_point now, const watch_state& state) {
        if (state.m_elected)
            return true;
        if (state.m_store_lost)
            return m_recheck.ask(now, duration::max());
        return m_trust.ask(now, state.m_age);
    }

private:
    // Others watch meanwhile; a call that fails is paid for like any other.
    static constexpr duration recheck_period{seconds{15}};

    trust m_trust;
    trust m_recheck{recheck_period};
};

} // namespace skylark

#endif
