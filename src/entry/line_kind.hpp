// Kinds of log lines that are bounded separately.
#ifndef SKYLARK_ENTRY_LINE_KIND_HPP
#define SKYLARK_ENTRY_LINE_KIND_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace skylark::entry {

/*! @brief Kinds of log lines. Each has a bound of its own, so that many lines
 *  of one kind do not displace the others. */
enum class line_kind : std::uint8_t {
    decision,        //!< on a request
    unmatched,       //!< refusals of requests that no rule matches
    unauthenticated, //!< refusals of requests without the key of a team
    cut,             //!< requests that a shutdown ends without an answer
    rejected,        //!< requests that the HTTP server rejected
    discarded,       //!< input that the HTTP server discarded
    change           //!< of state
};

inline constexpr std::size_t line_kind_count = 7;

/*! @brief Name of a kind in the line that counts what was left out. */
constexpr std::string_view name_of(line_kind kind) {
    switch (kind) {
    case line_kind::decision:
        return "decisions";
    case line_kind::unmatched:
        return "unmatched";
    case line_kind::unauthenticated:
        return "unauthenticated";
    case line_kind::cut:
        return "cut";
    case line_kind::rejected:
        return "rejected";
    case line_kind::discarded:
        return "discarded";
    case line_kind::change:
        break;
    }
    return "changes";
}

} // namespace skylark::entry

#endif
