// Load probing: the next step for one request, and the upstream that takes it.
#include <skylark/route/probe_step.hpp>

#include <algorithm>
#include <iterator>

#include "route/probe_targets.hpp"

namespace skylark {

namespace {

// A request that finds this many upstreams full or silent is refused. Further
// probes would use up the budget when it is needed most.
constexpr std::size_t max_full_reports = 2 * max_probes_per_step;
// The same while room is scarce, to find the few free slots that are left.
constexpr std::size_t max_full_reports_scarce = 5 * max_probes_per_step;
// A late request takes only slow upstreams then, and leaves the probes to those
// that can be in time.
constexpr std::size_t max_full_reports_late = max_probes_per_step;
// A reported upstream below this cost takes the request without further probes.
// Multiple of the usual time of one request.
constexpr double acceptable_cost = 1.7;

std::size_t max_full(const room_terms& terms) {
    if (!terms.m_scarce)
        return max_full_reports;
    return is_late(terms) ? max_full_reports_late : max_full_reports_scarce;
}

// Largest number of full upstreams that a request finds in all zones. One that
// found none in its own zone has a step left for the others.
std::size_t max_full(const probe_options& options) {
    const bool has_further_step =
        options.m_zones.m_priced && !options.m_room.m_scarce;
    return max_full(options.m_room) +
           (has_further_step ? max_probes_per_step : 0);
}

// The same in the own zone or in the others.
std::size_t max_full_in(bool same_zone, bool has_other_zone,
                        const probe_options& options) {
    const zone_choice& zones = options.m_zones;
    const std::size_t all = max_full(options);
    if (!zones.m_priced || !has_other_zone)
        return all;
    if (zones.m_leaves)
        return same_zone ? max_probes_per_step
                         : std::max(all, 2 * max_probes_per_step) -
                               max_probes_per_step;
    if (!same_zone)
        return all;
    return zones.m_own_short ? max_probes_per_step : max_full_reports;
}

double cost(const probe_candidate& candidate, const probe_options& options) {
    const double penalty =
        candidate.m_same_zone ? 0.0 : options.m_zones.m_penalty;
    return expected_time(*candidate.m_report,
                         options.m_room.m_saturation_slowdown) +
           penalty;
}

const probe_candidate*
best_reported(std::span<const probe_candidate> candidates,
              const probe_options& options, random_source& random) {
    const probe_candidate* best = nullptr;
    double lowest = 0.0;
    std::uint32_t ties = 0;
    for (const probe_candidate& candidate : candidates) {
        if (!candidate.m_report ||
            !has_room(*candidate.m_report, options.m_room))
            continue;
        const double item_cost = cost(candidate, options);
        if (best && item_cost > lowest)
            continue;
        ties = best && item_cost == lowest ? ties + 1 : 1;
        if (ties > 1 && random(ties) != 0)
            continue;
        best = &candidate;
        lowest = item_cost;
    }
    return best;
}

probe_step less_used_of_two(std::span<const probe_candidate> candidates,
                            const probe_options& options,
                            random_source& random) {
    const probe_candidate* best = nullptr;
    for (int i = 0; i < 2 && !candidates.empty(); ++i) {
        const auto index =
            random(static_cast<std::uint32_t>(candidates.size()));
        const probe_candidate& candidate = candidates[index];
        if (!internal::was_recently_full(candidate, options) &&
            !candidate.m_probed && !candidate.m_reserve &&
            (!best || candidate.m_in_flight < best->m_in_flight))
            best = &candidate;
    }
    if (!best)
        return no_upstream_available{};
    return send_to_upstream{best->m_upstream};
}

bool is_full(const probe_candidate& candidate, const room_terms& terms) {
    if (!candidate.m_probed)
        return false;
    return candidate.m_probe_overdue ||
           (candidate.m_report && !has_room(*candidate.m_report, terms));
}

// Candidates of the zone where the request looks first; all without a price, or
// if there are none.
std::vector<probe_candidate>
preferred(std::span<const probe_candidate> candidates,
          const zone_choice& zones) {
    std::vector<probe_candidate> out;
    if (zones.m_priced)
        std::copy_if(candidates.begin(), candidates.end(),
                     std::back_inserter(out),
                     [&](const probe_candidate& candidate) {
                         return zones.m_leaves ? !candidate.m_same_zone &&
                                                     candidate.m_zone_open
                                               : candidate.m_same_zone;
                     });
    if (out.empty())
        out.assign(candidates.begin(), candidates.end());
    return out;
}

// Whether probes of other zones could find a better upstream than the best one
// known.
bool may_gain(const probe_candidate* best, const probe_options& options) {
    constexpr double idle_cost = 1.0;
    const zone_choice& zones = options.m_zones;
    return !zones.m_priced || zones.m_leaves || !best ||
           cost(*best, options) > idle_cost + zones.m_penalty;
}

} // namespace

probe_step plan_probe_step(std::span<const probe_candidate> candidates,
                           const probe_options& options,
                           random_source& random) {
    const room_terms& terms = options.m_room;
    const auto count = [&](const auto& which) {
        return static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.end(), which));
    };
    const bool has_pending = count([](const probe_candidate& candidate) {
                                 return candidate.m_probe_pending;
                             }) > 0;
    if (has_pending && options.m_wait_for_pending)
        return await_probes{};
    const probe_candidate* best = best_reported(candidates, options, random);
    if (best && cost(*best, options) < acceptable_cost)
        return send_to_upstream{best->m_upstream};
    const auto full_in = [&](bool same_zone) {
        return count([&](const probe_candidate& candidate) {
            return candidate.m_same_zone == same_zone &&
                   is_full(candidate, terms);
        });
    };
    const bool has_other_zone =
        count([](const probe_candidate& candidate) {
            return !candidate.m_same_zone && candidate.m_zone_open;
        }) > 0;
    const bool own_first = !options.m_zones.m_leaves;
    for (const bool same_zone : {own_first, !own_first}) {
        if (full_in(true) + full_in(false) >= max_full(options))
            break;
        if (full_in(same_zone) >=
                max_full_in(same_zone, has_other_zone, options) ||
            (!same_zone && !may_gain(best, options)))
            continue;
        auto targets = internal::choose_probe_targets(candidates, same_zone,
                                                      options, random);
        if (!targets.empty())
            return probe_upstreams{std::move(targets)};
    }
    if (best)
        return send_to_upstream{best->m_upstream};
    if (has_pending)
        return await_probes{};
    const std::size_t probed = count(
        [](const probe_candidate& candidate) { return candidate.m_probed; });
    if (options.m_probe_budget == 0 && probed == 0)
        return less_used_of_two(preferred(candidates, options.m_zones), options,
                                random);
    return no_upstream_available{};
}

} // namespace skylark
