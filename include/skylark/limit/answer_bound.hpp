/*! @file
 *  Answer bound: until when an answer that has begun may go on.
 *
 *  A faulty upstream may send a body without an end. A request's deadline
 *  therefore covers its whole answer, with two exceptions: an answer may end a
 *  moment later, and a body of a declared length may go on while, at its pace,
 *  it ends before its caller leaves. Reads no clock: time is an argument. */
#ifndef SKYLARK_LIMIT_ANSWER_BOUND_HPP
#define SKYLARK_LIMIT_ANSWER_BOUND_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What bounds one answer. */
struct answer_terms {
    time_point m_begun;    //!< when its head arrived
    time_point m_deadline; //!< of its request
    //! When its caller stops waiting; none if the caller does not say.
    std::optional<time_point> m_caller_leaves;
    std::optional<std::uint64_t> m_length; //!< bytes of its body, if declared
};

/*! @brief Decides whether an answer may go on. */
class answer_bound {
public:
    explicit constexpr answer_bound(const answer_terms& terms)
        : m_terms{terms},
          m_least_end{std::max(terms.m_deadline, terms.m_begun) + grace} {}

    /*! @brief Time from which on may_go_on() can return false. */
    [[nodiscard]] constexpr time_point least_end() const { return m_least_end; }

    /*! @brief The process was paused: what arrived meanwhile may still be
     *  passed on.
     *  @param now current time */
    constexpr void process_paused(time_point now) {
        m_least_end = std::max(m_least_end, now + grace);
    }

    /*! @brief The caller's connection takes no more of the answer until those
     *  before it were written.
     *  @param now current time */
    constexpr void held_back(time_point now) { process_paused(now); }

    /*! @brief Whether the answer may go on.
     *  @param now current time
     *  @param left bytes of the body that have not arrived; of no effect
     *  without a declared length */
    [[nodiscard]] constexpr bool may_go_on(time_point now,
                                           std::uint64_t left) const {
        if (now < m_least_end)
            return true;
        if (!m_terms.m_length || left >= *m_terms.m_length)
            return false;
        const time_point limit =
            m_terms.m_caller_leaves.value_or(m_terms.m_begun + longest_answer);
        const double needed = static_cast<double>(left) /
                              static_cast<double>(*m_terms.m_length - left) *
                              seconds_between(m_terms.m_begun, now);
        return needed <= seconds_between(now, limit);
    }

private:
    // Callers are not kept waiting much longer than the deadline.
    static constexpr duration grace = milliseconds{200};
    // Without a word of the caller.
    static constexpr duration longest_answer = std::chrono::hours{1};

    static constexpr double seconds_between(time_point from, time_point to) {
        return std::chrono::duration<double>{to - from}.count();
    }

    answer_terms m_terms;
    time_point m_least_end;
};

} // namespace skylark

#endif
