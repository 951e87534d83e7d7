/*! @file
 *  Probe candidate: an upstream as the planning of probes sees it. */
#ifndef SKYLARK_ROUTE_PROBE_CANDIDATE_HPP
#define SKYLARK_ROUTE_PROBE_CANDIDATE_HPP

#include <cstdint>
#include <optional>

#include <skylark/core/id.hpp>
#include <skylark/load/report.hpp>

namespace skylark {

/*! @brief State of an upstream, as needed to plan a probe step. */
struct probe_candidate {
    upstream_id m_upstream;
    bool m_same_zone{};           //!< in the availability zone of this entry
    bool m_zone_open{true};       //!< requests of this zone may go to its zone
    bool m_probed{};              //!< has been probed for this request
    bool m_probe_pending{};       //!< probe sent, its answer is awaited
    bool m_probe_overdue{};       //!< probe sent, not answered in time
    bool m_suspect{};             //!< failed recently; probed last
    bool m_has_idle_connection{}; //!< has an idle connection
    bool m_has_connection{};      //!< has a connection, idle or in use
    bool m_newly_usable{};        //!< became usable recently, not probed yet
    //! May take a request only because room is scarce.
    bool m_reserve{};
    std::uint32_t m_in_flight{}; //!< requests of this entry only
    //! Report that is recent enough to base a decision on.
    std::optional<load_report> m_report;
    //! Latest report, also if too old for m_report; absent if too old to tell
    //! whether the upstream was full a moment ago.
    std::optional<load_report> m_last_report;
};

} // namespace skylark

#endif
