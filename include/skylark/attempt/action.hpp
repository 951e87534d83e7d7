/*! @file
 *  Actions that the attempt machine returns for its owner to carry out. */
#ifndef SKYLARK_ATTEMPT_ACTION_HPP
#define SKYLARK_ATTEMPT_ACTION_HPP

#include <variant>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/verdict/verdict.hpp>

namespace skylark {

/*! @brief Choose an upstream and start a further attempt on it. */
struct start_attempt {
    bool operator==(const start_attempt&) const = default;
};

/*! @brief Close the connection of an attempt whose answer is no longer needed.
 */
struct cancel_attempt {
    attempt_id m_attempt;
    bool operator==(const cancel_attempt&) const = default;
};

/*! @brief Pass this attempt's answer on to the caller. */
struct begin_answer {
    attempt_id m_attempt;
    bool operator==(const begin_answer&) const = default;
};

/*! @brief Abort the answer that the caller is already receiving, so that the
 *  caller sees it as incomplete. */
struct abort_answer {
    bool operator==(const abort_answer&) const = default;
};

/*! @brief Answer the caller with an error, without an answer of an upstream. */
struct refuse {
    verdict m_verdict; //!< not_run or may_have_run
    bool m_expired;    //!< the deadline has passed
    bool operator==(const refuse&) const = default;
};

/*! @brief End the answer to the caller; it is complete. */
struct finish_answer {
    bool operator==(const finish_answer&) const = default;
};

using action = std::variant<start_attempt, cancel_attempt, begin_answer,
                            abort_answer, refuse, finish_answer>;
using actions = std::vector<action>;

} // namespace skylark

#endif
