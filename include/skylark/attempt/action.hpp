/*! @file
 *  What the attempt machine asks its owner to do. */
#ifndef SKYLARK_ATTEMPT_ACTION_HPP
#define SKYLARK_ATTEMPT_ACTION_HPP

#include <variant>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/verdict/verdict.hpp>

namespace skylark {

/*! @brief Choose a further upstream and start an attempt on it. */
struct start_attempt {
    bool operator==(const start_attempt&) const = default;
};

/*! @brief Close the attempt's connection; its answer is of no use. */
struct cancel_attempt {
    attempt_id m_attempt;
    bool operator==(const cancel_attempt&) const = default;
};

/*! @brief Pass this attempt's answer on to the caller. */
struct begin_answer {
    attempt_id m_attempt;
    bool operator==(const begin_answer&) const = default;
};

/*! @brief Break the answer that the caller is already receiving. */
struct break_answer {
    bool operator==(const break_answer&) const = default;
};

/*! @brief Answer the caller without an upstream's answer. */
struct refuse {
    verdict m_verdict; //!< not_run or may_have_run
    bool m_expired;    //!< the deadline has passed
    bool operator==(const refuse&) const = default;
};

/*! @brief The caller has its whole answer. */
struct finish_answer {
    bool operator==(const finish_answer&) const = default;
};

using action = std::variant<start_attempt, cancel_attempt, begin_answer,
                            break_answer, refuse, finish_answer>;
using actions = std::vector<action>;

} // namespace skylark

#endif
