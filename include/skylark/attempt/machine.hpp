/*! @file
 *  Attempt machine: one request from admission to its verdict.
 *
 *  Keeps the promise that a non-idempotent request runs at most once and that
 *  "not run" is said only with a proof. Pure: time and events come in as
 *  arguments, actions go out as values. */
#ifndef SKYLARK_ATTEMPT_MACHINE_HPP
#define SKYLARK_ATTEMPT_MACHINE_HPP

#include <cstdint>
#include <vector>

#include <skylark/attempt/action.hpp>
#include <skylark/attempt/fwd.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What the rule and the caller demand of a request. */
struct attempt_terms {
    bool m_idempotent{};
    time_point m_deadline;
    std::uint32_t m_max_attempts{4}; //!< all attempts, hedges included
};

/*! @brief State of one request. */
class attempt_machine {
public:
    explicit attempt_machine(const attempt_terms& terms) : m_terms{terms} {}

    /*! @brief Whether a further attempt may begin now.
     *  @param now the present
     *  @return false past the deadline, once an answer has begun, or while a
     *  non-idempotent attempt is unresolved */
    [[nodiscard]] bool may_start(time_point now) const;

    /*! @brief Records that an attempt has begun.
     *  @note Invalid unless may_start() holds. */
    void started(attempt_id attempt);

    /*! @brief Last check, in the turn of the loop that writes.
     *  @param attempt the attempt about to write
     *  @param now clock reading taken for this call
     *  @return whether its first byte may be given to the kernel */
    bool sending(attempt_id attempt, time_point now);

    /*! @brief An attempt's answer has begun.
     *  @return begin_answer for the first one, cancels for all others */
    actions answer_begun(attempt_id attempt);

    /*! @brief An attempt has ended.
     *  @param attempt which one
     *  @param how its verdict
     *  @param now the present
     *  @param retry_allowed whether the budget lets a lost attempt be
     *  repeated; refusals that prove "not run" do not ask it
     *  @return what follows */
    actions ended(attempt_id attempt, const verdict& how, time_point now,
                  bool retry_allowed);

    /*! @brief The deadline has passed, or the process was paused past it. */
    actions expired();

    /*! @brief No upstream can take the request. */
    actions rejected();

    /*! @brief The caller has gone; nobody waits for an answer. */
    actions abandoned();

    /*! @brief No further attempt may begin; those under way go on. */
    void stop_attempts() { m_terms.m_max_attempts = m_count; }

    /*! @brief Whether a hedge could begin.
     *  @param now the present
     *  @return true when exactly one idempotent attempt is unanswered */
    [[nodiscard]] bool may_hedge(time_point now) const;

    [[nodiscard]] bool done() const { return m_done; }
    [[nodiscard]] bool answer_has_begun() const { return bool{m_answering}; }
    [[nodiscard]] const attempt_terms& terms() const { return m_terms; }
    [[nodiscard]] std::uint32_t attempt_count() const { return m_count; }

private:
    actions cancel_running(attempt_id except);
    actions give_up(bool expired);
    [[nodiscard]] verdict overall() const;

    attempt_terms m_terms;
    // Invariant: holds no attempt that has ended or was cancelled.
    std::vector<attempt_id> m_running;
    attempt_id m_answering;
    std::uint32_t m_count{};
    // Invariant: true once any attempt ended as, or was cancelled when it
    // could be, may_have_run. Then no refusal says "not run".
    bool m_may_have_run{};
    not_run_proof m_last_proof{not_run_proof::not_admitted};
    // Attempts that were allowed to give a byte to the kernel.
    std::vector<attempt_id> m_sent;
    bool m_done{};
};

} // namespace skylark

#endif
