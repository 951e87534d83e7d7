// Why a connection ended with input that was not answered.
#ifndef SKYLARK_IO_DISCARD_CAUSE_HPP
#define SKYLARK_IO_DISCARD_CAUSE_HPP

#include <cstdint>
#include <string_view>

namespace skylark::io {

/*! @brief Why a server ended a connection on which input of the caller was not
 *  answered. */
enum class discard_cause : std::uint8_t {
    closing_answer, //!< an answer closed the connection; input was behind it
    broken_answer,  //!< the same, of an answer that was broken off
    input_limit,    //!< the input exceeded a limit
    time_limit,     //!< a request took too long to arrive
    no_descriptor   //!< none was left for a lingering close
};

/*! @brief Name of a cause in the log. */
constexpr std::string_view name_of(discard_cause cause) {
    switch (cause) {
    case discard_cause::closing_answer:
        return "closing-answer";
    case discard_cause::broken_answer:
        return "broken-answer";
    case discard_cause::input_limit:
        return "input-limit";
    case discard_cause::time_limit:
        return "time-limit";
    case discard_cause::no_descriptor:
        break;
    }
    return "no-descriptor";
}

} // namespace skylark::io

#endif
