/*! @file
 *  Load report that an upstream sends in a response header and returns from
 *  its load endpoint: "inc=7;state=warm;used=3;slots=6;queue=0;slow=100". */
#ifndef SKYLARK_LOAD_REPORT_HPP
#define SKYLARK_LOAD_REPORT_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <skylark/core/error.hpp>
#include <skylark/load/fwd.hpp>

namespace skylark {

/*! @brief Lifecycle state that an upstream reports. */
enum class upstream_state : std::uint8_t { cold, warm, draining };

//! Slowness, in percent, of an upstream that runs at its normal speed.
inline constexpr std::uint32_t nominal_slowness = 100;

/*! @brief Load that an upstream reported at one point in time. */
struct load_report {
    std::uint64_t m_incarnation{}; //!< changes with each cold start
    upstream_state m_state{upstream_state::cold};
    std::uint32_t m_used{};  //!< slots that execute a request
    std::uint32_t m_slots{}; //!< total number of slots; 0 is invalid
    std::uint32_t m_queue{}; //!< requests waiting for a slot
    //! Current service time in percent of the normal service time.
    std::uint32_t m_slowness{nominal_slowness};

    bool operator==(const load_report&) const = default;
};

/*! @brief Parses a report. Unknown fields are ignored.
 *  @param text header value or body of the load endpoint
 *  @return the report, or an error if a field is malformed or the number of
 *  slots is missing or 0 */
parsed<load_report> parse_report(std::string_view text);

/*! @brief Serializes a report into the format that parse_report accepts. */
std::string format_report(const load_report& report);

/*! @brief Report of an upstream after some more requests have arrived. They
 *  take the free slots, then the queue. */
load_report with_more(const load_report& from, std::uint32_t requests);

/*! @brief Name of a state in serialized reports. */
std::string_view name_of(upstream_state state);

} // namespace skylark

#endif
