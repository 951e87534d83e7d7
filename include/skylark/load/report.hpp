/*! @file
 *  Load report of an upstream, as its answers and its load endpoint carry
 *  it: "inc=7;state=warm;used=3;slots=6;queue=0;slow=100". */
#ifndef SKYLARK_LOAD_REPORT_HPP
#define SKYLARK_LOAD_REPORT_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <skylark/core/error.hpp>
#include <skylark/load/fwd.hpp>

namespace skylark {

/*! @brief What an upstream says about itself. */
enum class upstream_state : std::uint8_t { cold, warm, draining };

//! Slowness of an upstream whose work takes as long as usual.
inline constexpr std::uint32_t usual_slowness = 100;

/*! @brief One report. */
struct load_report {
    std::uint64_t m_incarnation{}; //!< changes with each cold start
    upstream_state m_state{upstream_state::cold};
    std::uint32_t m_used{};  //!< slots at work
    std::uint32_t m_slots{}; //!< slots in all
    std::uint32_t m_queue{}; //!< requests that wait for a slot
    //! Time that work takes at present, in percent of the usual time.
    std::uint32_t m_slowness{usual_slowness};

    bool operator==(const load_report&) const = default;
};

/*! @brief Reads a report.
 *  @param text the header's value or the endpoint's body
 *  @return the report, or what is wrong with it */
parsed<load_report> parse_report(std::string_view text);

/*! @brief Writes a report in the form that parse_report reads. */
std::string format_report(const load_report& report);

/*! @brief Name of a state as reports write it. */
std::string_view name_of(upstream_state state);

} // namespace skylark

#endif
