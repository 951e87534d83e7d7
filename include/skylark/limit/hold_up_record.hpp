/*! @file
 *  Hold-up record: how long the process was held up lately.
 *
 *  A machine that has given a process no processor for a while may do so again.
 *  What must end before a fixed time allows for it. */
#ifndef SKYLARK_LIMIT_HOLD_UP_RECORD_HPP
#define SKYLARK_LIMIT_HOLD_UP_RECORD_HPP

#include <deque>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Longest of the hold-ups of the last minute. */
class hold_up_record {
public:
    /*! @brief Adds a hold-up that has ended.
     *  @param now current time, not before that of an earlier call
     *  @param length of the hold-up */
    void add(time_point now, duration length) {
        while (!m_kept.empty() && m_kept.back().m_length <= length)
            m_kept.pop_back();
        m_kept.push_back({now, length});
        forget(now);
    }

    /*! @brief Longest of those that ended within the last minute, or zero. */
    [[nodiscard]] duration longest(time_point now) {
        forget(now);
        return m_kept.empty() ? duration{0} : m_kept.front().m_length;
    }

private:
    struct hold_up {
        time_point m_end;
        duration m_length;
    };

    static constexpr duration memory = seconds{60};

    void forget(time_point now) {
        while (!m_kept.empty() && now - m_kept.front().m_end > memory)
            m_kept.pop_front();
    }

    // Invariant: in the order of their ends, each longer than the next one.
    std::deque<hold_up> m_kept;
};

} // namespace skylark

#endif
