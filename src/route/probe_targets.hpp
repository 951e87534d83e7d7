// Selection of the upstreams to probe for one request.
#ifndef SKYLARK_ROUTE_PROBE_TARGETS_HPP
#define SKYLARK_ROUTE_PROBE_TARGETS_HPP

#include <skylark/route/probe_step.hpp>

namespace skylark::internal {

// A queue does not drain between two requests of one entry, so another probe
// would give no new information.
bool was_recently_full(const probe_candidate& candidate,
                       const probe_options& options);

// Upstreams of this zone or of the others to probe next, at most
// max_probes_per_step. Upstreams that failed recently come last. Idle
// connections are preferred. While there are few open connections, and once in
// a while, the first target is an upstream without one, so that new upstreams
// are found soon; while room is scarce, it is one of the reserve.
std::vector<upstream_id>
choose_probe_targets(std::span<const probe_candidate> candidates,
                     bool same_zone, const probe_options& options,
                     random_source& random);

} // namespace skylark::internal

#endif
