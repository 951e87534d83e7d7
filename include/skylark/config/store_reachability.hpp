/*! @file
 *  Store reachability: whether the store responds to this entry.
 *
 *  A store may reject some entries while it serves others. The entry that
 *  watches the store for its zone must detect this in time to be replaced, even
 *  if its calls hang instead of failing. */
#ifndef SKYLARK_CONFIG_STORE_REACHABILITY_HPP
#define SKYLARK_CONFIG_STORE_REACHABILITY_HPP

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

    /*! @brief The call returned a complete response. */
    void call_succeeded() {
        m_call_deadline.reset();
        m_failed = false;
    }

    /*! @brief The call was rejected or returned no usable response. */
    void call_failed() {
        m_call_deadline.reset();
        m_failed = true;
    }

    /*! @brief Whether the store is unreachable, so that another entry should
     *  take over the watch.
     *  @param now current time */
    [[nodiscard]] bool lost(time_point now) const {
        return m_failed || (m_call_deadline && now > *m_call_deadline);
    }

private:
    // Time for a response after the long poll ends: ten times the 15 ms in
    // which a healthy store responds.
    static constexpr duration answer_timeout{milliseconds{150}};

    // Invariant: set while a call is in progress.
    std::optional<time_point> m_call_deadline;
    bool m_failed{};
};

} // namespace skylark

#endif
