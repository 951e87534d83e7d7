/*! @file
 *  Load probing before a request is sent: which upstreams to probe, and which
 *  one takes the request.
 *
 *  Upstreams may slow down and recover within fractions of a second. A report
 *  that is older than the interval between two requests of one entry says
 *  nothing about their present load, so it is requested per request. Pure
 *  function: it takes reports, returns the next step and does no I/O. */
#ifndef SKYLARK_ROUTE_PROBE_STEP_HPP
#define SKYLARK_ROUTE_PROBE_STEP_HPP

#include <span>
#include <variant>
#include <vector>

#include <skylark/core/random.hpp>
#include <skylark/route/probe_candidate.hpp>
#include <skylark/route/room.hpp>
#include <skylark/route/zone_choice.hpp>

namespace skylark {

/*! @brief Probe these upstreams, then plan again. */
struct probe_upstreams {
    std::vector<upstream_id> m_targets;
};

/*! @brief Send the request to this upstream. */
struct send_to_upstream {
    upstream_id m_upstream;
};

/*! @brief Wait for the answers to pending probes. */
struct await_probes {};

/*! @brief No upstream can take the request now. */
struct no_upstream_available {};

using probe_step = std::variant<probe_upstreams, send_to_upstream, await_probes,
                                no_upstream_available>;

/*! @brief Limits of one step. */
struct probe_options {
    bool m_wait_for_pending{};    //!< wait for pending probes before deciding
    std::size_t m_probe_budget{}; //!< probes that the budget allows now
    room_terms m_room;            //!< what the request needs
    zone_choice m_zones;          //!< where it looks
};

/*! @brief Largest number of probes that one step sends. */
inline constexpr std::size_t max_probes_per_step = 3;

/*! @brief Plans the next step for one request.
 *  @param candidates upstreams that may take it
 *  @param options limits of the step
 *  @param random random number source
 *  @return the step; if the probe budget is empty and nothing was probed, a
 *  choice between two random candidates by the requests of this entry that
 *  are in flight */
probe_step plan_probe_step(std::span<const probe_candidate> candidates,
                           const probe_options& options, random_source& random);

} // namespace skylark

#endif
