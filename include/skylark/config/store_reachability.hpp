/*! @file
 *  Store reachability: whether the store responds to this entry.
 *
 *  A store may reject some entries while it serves others. The entry that
 *  watches the store for its zone must detect this in time to be replaced, even
 *  if its calls hang instead of failing. A single call may fail while the store
 *  works, as when a waiting watch is cut; its repetition decides. */
#ifndef SKYLARK_CONFIG_STORE_REACHABILITY_HPP
#define SKYLARK_CONFIG_STORE_REACHABILITY_HPP

#include <algorithm>
#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Tracks the store calls of one entry; one call at a time. */
class store_reachability {
public:
    /*! @brief A call starts.
     *  @param now current time
     *  @param wait long-poll time requested from the store; zero: none */
    void call_started(time_point now, duration wait) {
        m_call_deadline = now + wait + answer_timeout;
    }

    /*! @brief A part of the response arrived. A large one takes long on a
     *  slow link, which is no sign of trouble.
     *  @param now current time */
    void call_progressed(time_point now) {
        if (m_call_deadline)
            m_call_deadline = std::max(*m_call_deadline, now + answer_timeout);
    }

    /*! @brief The call returned a complete response.
     *  @param now current time */
    void call_succeeded(time_point now) {
        m_call_deadline.reset();
        m_succeeded = now;
        m_failed = false;
        m_lost = false;
    }

    /*! @brief The call was rejected or returned no usable response.
     *  @param now current time */
    void call_failed(time_point now) {
        const bool doubtful =
            m_succeeded && now - *m_succeeded < repetition_period;
        m_lost = m_failed || !doubtful || lost(now);
        m_failed = true;
        m_call_deadline.reset();
    }

    /*! @brief Whether the last call failed. */
    [[nodiscard]] bool last_call_failed() const { return m_failed; }

    /*! @brief Whether the store is unreachable, so that another entry should
     *  take over the watch.
     *  @param now current time */
    [[nodiscard]] bool lost(time_point now) const {
        return m_lost || (m_call_deadline && now > *m_call_deadline);
    }

private:
    // Time for a response after the long poll ends: ten times the 15 ms in
    // which a healthy store responds.
    static constexpr duration answer_timeout{milliseconds{150}};
    // A failed call is repeated if one has succeeded within this time, which
    // exceeds the longest long poll. An entry that begins to call does not
    // repeat it: it does so because the calls of others failed.
    static constexpr duration repetition_period{seconds{3}};

    // Invariant: set while a call is in progress.
    std::optional<time_point> m_call_deadline;
    std::optional<time_point> m_succeeded;
    bool m_failed{}; // the last call
    bool m_lost{};
};

} // namespace skylark

#endif
