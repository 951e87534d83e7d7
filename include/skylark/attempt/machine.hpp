/*! @file
 *  Attempt machine: state machine of one request, from admission to its
 *  verdict.
 *
 *  Guarantees that a non-idempotent request runs at most once and that "not
 *  run" is reported only if it is proven. Does no I/O and reads no clock: time
 *  and events are arguments, actions are return values. */
#ifndef SKYLARK_ATTEMPT_MACHINE_HPP
#define SKYLARK_ATTEMPT_MACHINE_HPP

#include <cstdint>
#include <vector>

#include <skylark/attempt/action.hpp>
#include <skylark/attempt/fwd.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Requirements on one request, from its rule and its caller. */
struct attempt_terms {
    bool m_idempotent{};
    time_point m_deadline;
    std::uint32_t m_max_attempts{4}; //!< all attempts, hedges included
};

/*! @brief Decides on attempts, retries, hedges and the outcome of one request.
 */
class attempt_machine {
public:
    explicit attempt_machine(const attempt_terms& terms) : m_terms{terms} {}

    /*! @brief Whether a further attempt may begin now.
     *  @param now current time
     *  @return false past the deadline, while an attempt whose answer's head
     *  was received is running, after the largest number of attempts, or while
     *  a non-idempotent attempt is running or may have run */
    [[nodiscard]] bool may_start(time_point now) const;

    /*! @brief Records that an attempt has begun.
     *  @note Invalid unless may_start() returns true. */
    void attempt_started(attempt_id attempt);

    /*! @brief Last check before an attempt writes; call it in the same
     *  iteration of the event loop as the write.
     *  @param attempt attempt that is about to write
     *  @param now clock reading taken for this call
     *  @return whether its first byte may be given to the kernel; if so, the
     *  attempt counts as sent */
    bool try_begin_send(attempt_id attempt, time_point now);

    /*! @brief Handles the head of an attempt's answer. The caller gets this
     *  answer if it begins, and no other attempt starts before this one ends.
     *  @return cancel_attempt for each other running attempt; nothing for a
     *  later head */
    actions head_received(attempt_id attempt);

    /*! @brief Handles that there is something of an attempt's answer to pass
     *  on: the first bytes of its body, or its end. Until then the attempt is
     *  lost if it fails, like one without an answer.
     *  @return begin_answer for the first answer and cancel_attempt for each
     *  other running attempt; nothing for a later answer */
    actions answer_begun(attempt_id attempt);

    /*! @brief Handles the end of an attempt.
     *  @param attempt attempt that ended
     *  @param result its verdict
     *  @param now current time
     *  @param retry_allowed whether the retry budget allows to repeat a lost
     *  attempt; not used for an attempt that provably did not run
     *  @return actions to carry out */
    actions attempt_ended(attempt_id attempt, const verdict& result,
                          time_point now, bool retry_allowed);

    /*! @brief Handles a deadline that has passed, also during a pause of the
     *  process. */
    actions expired();

    /*! @brief Handles that no upstream can take the request. No effect while an
     *  attempt is running. */
    actions rejected();

    /*! @brief Handles a caller that disconnected; cancels all attempts. */
    actions abandoned();

    /*! @brief Allows no further attempt; running attempts continue. */
    void stop_attempts() { m_terms.m_max_attempts = m_count; }

    /*! @brief Handles that the request may not be passed on any more. Attempts
     *  that were sent continue; without any, the request ends.
     *  @return actions to carry out */
    actions withdrawn();

    /*! @brief Whether a hedge could begin.
     *  @param now current time
     *  @return true if exactly one attempt is running, the request is
     *  idempotent and may_start() returns true */
    [[nodiscard]] bool may_hedge(time_point now) const;

    /*! @brief What is known of the request once no attempt is running. */
    [[nodiscard]] verdict overall_verdict() const;

    [[nodiscard]] bool done() const { return m_done; }
    [[nodiscard]] bool answer_has_begun() const { return bool{m_answering}; }
    [[nodiscard]] const attempt_terms& terms() const { return m_terms; }
    [[nodiscard]] std::uint32_t attempt_count() const { return m_count; }

private:
    actions cancel_running(attempt_id except);
    [[nodiscard]] bool sent(attempt_id attempt) const;
    actions give_up(bool expired);

    attempt_terms m_terms;
    // Invariant: holds no attempt that has ended or was cancelled.
    std::vector<attempt_id> m_running;
    // Running attempt whose answer's head was received. Invariant: no other
    // attempt is running beside it.
    attempt_id m_selected;
    attempt_id m_answering; // m_selected once its answer has begun
    std::uint32_t m_count{};
    // Invariant: true once an attempt ended without proof that it did not
    // run, or was cancelled after it was sent. Then no refusal says "not run".
    bool m_may_have_run{};
    not_run_proof m_last_proof{not_run_proof::not_admitted};
    // Attempts that were allowed to give a byte to the kernel, ended ones too.
    std::vector<attempt_id> m_sent;
    bool m_done{};
};

} // namespace skylark

#endif
