/*! @file
 *  Answer bound: until when an answer that has begun may go on.
 *
 *  A faulty upstream may send a body without an end, or fall silent within one.
 *  A request's deadline therefore covers its whole answer, with two exceptions:
 *  an answer may end a moment later, and a body of a declared length may go on
 *  while it arrives at a pace at which it ends before its caller leaves. Reads
 *  no clock: time is an argument. */
#ifndef SKYLARK_LIMIT_ANSWER_BOUND_HPP
#define SKYLARK_LIMIT_ANSWER_BOUND_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include <skylark/core/time.hpp>
#include <skylark/limit/answer_flow.hpp>

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
        : m_terms{terms}, m_flow{terms.m_begun},
          m_least_end{std::max(terms.m_deadline, terms.m_begun) + grace} {}

    /*! @brief Time from which on may_go_on() can return false. */
    [[nodiscard]] constexpr time_point least_end() const { return m_least_end; }

    /*! @brief Flow of the answer, to be told of what arrives. */
    [[nodiscard]] constexpr answer_flow& flow() { return m_flow; }

    /*! @brief The process was paused: what arrived meanwhile may still be
     *  passed on. Pauses in series give no more time to run than one.
     *  @param gap length of the pause, which has just ended
     *  @param now current time */
    constexpr void process_paused(duration gap, time_point now) {
        m_flow.process_paused(gap);
        m_least_end =
            std::max(m_least_end, std::min(m_least_end + gap, now + grace));
    }

    /*! @brief The caller's connection takes no more of the answer until those
     *  before it were written.
     *  @param now current time */
    constexpr void held_back(time_point now) {
        m_least_end = std::max(m_least_end, now + grace);
    }

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
        // An answer that fell silent well before does not outlast the bound.
        const duration quiet =
            std::min(silence_limit, first_silence_limit + (now - m_least_end));
        if (m_flow.silence(now) > quiet)
            return false;
        const time_point limit =
            m_terms.m_caller_leaves.value_or(m_terms.m_begun + longest_answer);
        const double pace = m_flow.pace();
        const double best = flows() ? std::max(pace, m_flow.mean_pace()) : pace;
        return static_cast<double>(left) <= best * seconds_between(now, limit);
    }

    /*! @brief Whether the answer arrives at the pace of a download, not of a
     *  slow upstream. */
    [[nodiscard]] constexpr bool flows() const {
        return m_flow.pace() >= download_pace;
    }

private:
    // Callers are not kept waiting much longer than the deadline.
    static constexpr duration grace = milliseconds{200};
    // Of an answer that reaches its bound.
    static constexpr duration first_silence_limit = milliseconds{300};
    // Of one that is beyond it.
    static constexpr duration silence_limit = seconds{1};
    static constexpr double download_pace = 4096.0; // bytes a second
    // Without a word of the caller.
    static constexpr duration longest_answer = std::chrono::hours{1};

    static constexpr double seconds_between(time_point from, time_point to) {
        return std::chrono::duration<double>{to - from}.count();
    }

    answer_terms m_terms;
    answer_flow m_flow;
    time_point m_least_end;
};

} // namespace skylark

#endif
