// Exit codes of skylark-ctl, as docs/OPERATIONS.md lists them.
#ifndef SKYLARK_CTL_EXIT_CODE_HPP
#define SKYLARK_CTL_EXIT_CODE_HPP

namespace skylark::ctl {

/*! @brief How a run ended. */
enum class exit_code : int {
    good = 0,
    refused = 1,     //!< the statement is wrong or was rejected
    usage = 2,       //!< the command line is wrong
    unreachable = 3, //!< no entry or store answered, or not readably
    unknown = 4,     //!< a change may or may not have been made
    not_in_force = 5 //!< accepted, but not everywhere within the wait
};

/*! @brief The worse of two ends. */
constexpr exit_code worse(exit_code left, exit_code right) {
    return left > right ? left : right;
}

} // namespace skylark::ctl

#endif
