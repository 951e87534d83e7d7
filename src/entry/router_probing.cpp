// Upstreams as the planning of probes sees them.
#include <algorithm>

#include "entry/router.hpp"

namespace skylark::entry {

namespace {
// Upstreams slow down and recover within fractions of a second, so only a
// report that has just arrived decides where a request goes.
constexpr duration current_report_age = milliseconds{12};
// A queue that is too long stays so for about the service time of one request.
constexpr duration saturation_validity = milliseconds{100};

// Time for which an upstream counts as newly usable. Long enough for an entry
// that sends one request every few seconds to probe it.
constexpr duration newly_usable_period = seconds{10};

// Report of an upstream that sends none, from this entry's own requests in
// flight.
load_report assumed_report(const upstream& of) {
    constexpr std::uint32_t assumed_slots = 4;
    load_report out;
    out.m_state = upstream_state::warm;
    out.m_slots = assumed_slots;
    out.m_used = of.m_load.in_flight();
    return out;
}

// A trial may fail, so its request must be repeatable, and one at a time is
// enough.
bool may_try_unhealthy(const upstream& item, const request& of, bool scarce,
                       time_point now) {
    return scarce && of.m_machine.terms().m_idempotent &&
           item.m_load.in_flight() == 0 && !item.m_load.suspect() &&
           item.m_health.may_try(now);
}
} // namespace

std::vector<probe_candidate> router::probe_candidates(const request& of,
                                                      bool scarce,
                                                      time_point now,
                                                      const zone_share& zones) {
    std::vector<probe_candidate> out;
    const service& config = service_of(of);
    const auto contains = [](const auto& list, upstream_id key) {
        return std::find(list.begin(), list.end(), key) != list.end();
    };
    for (const upstream_id key :
         m_shared.m_upstreams.of_service(config.m_name)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        std::optional<share_kind> share;
        if (contains(of.m_tried, key) ||
            !m_shared.m_rollouts.admits(of, item) ||
            exclusion_of(item, config, of.m_class, now, share) !=
                exclusion::none)
            continue;
        probe_candidate added;
        added.m_upstream = key;
        added.m_same_zone = item.m_zone == m_shared.m_settings.m_zone;
        added.m_zone_open = !of.m_zones.m_priced || zones.open(item.m_zone);
        added.m_probed = contains(of.m_probed, key);
        added.m_probe_pending = contains(of.m_pending_probes, key);
        added.m_probe_overdue = contains(of.m_overdue_probes, key);
        added.m_reserve = !item.m_health.usable(now) &&
                          may_try_unhealthy(item, of, scarce, now);
        added.m_suspect = item.m_load.suspect() || item.m_other_instance ||
                          (!item.m_health.usable(now) && !added.m_reserve);
        added.m_has_idle_connection = !item.m_idle.empty();
        added.m_has_connection = item.m_connections > 0;
        added.m_newly_usable =
            item.m_joined &&
            now - std::max(*item.m_joined, item.m_cold_until) <
                newly_usable_period &&
            item.m_load.report_age(now) == duration::max();
        added.m_in_flight = item.m_load.in_flight();
        // While the probes of one step are awaited, the first reports grow
        // older by the time on the path.
        const duration path = m_shared.m_paths.allowance(item.m_zone);
        if (!item.m_omits_load &&
            item.m_load.report_age(now) <= saturation_validity + path)
            added.m_last_report = item.m_load.report_with_own();
        if (item.m_omits_load && !added.m_suspect)
            added.m_report = assumed_report(item);
        else if (item.m_load.report_age(now) <= current_report_age + path &&
                 !added.m_suspect)
            added.m_report = item.m_load.report_with_own();
        out.push_back(added);
    }
    return out;
}

std::vector<zone_distance> router::usable_zones(const request& of,
                                                time_point now) {
    std::vector<zone_distance> out;
    const service& config = service_of(of);
    for (const upstream_id key :
         m_shared.m_upstreams.of_service(config.m_name)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        const std::string_view zone = item.m_zone;
        const bool known =
            std::any_of(out.begin(), out.end(), [&](const auto& other) {
                return other.m_zone == zone;
            });
        std::optional<share_kind> share;
        if (known || exclusion_of(item, config, of.m_class, now, share) !=
                         exclusion::none)
            continue;
        out.push_back({zone, m_shared.m_paths.timeout(zone, true),
                       m_shared.m_paths.expected(zone, false)});
    }
    return out;
}

std::optional<duration> router::time_until_usable(std::string_view service,
                                                  time_point now) {
    std::optional<duration> out;
    for (const upstream_id key : m_shared.m_upstreams.of_service(service)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        if (!item.listed(now) || item.m_leaving || !item.m_zone_active ||
            item.m_availability.leaving())
            continue;
        const time_point from =
            std::max(item.m_cold_until, item.m_availability.usable_from());
        if (from <= now)
            return std::nullopt;
        // Rounded up: a caller that returns too early is refused again.
        const duration left = std::chrono::ceil<milliseconds>(from - now);
        out = std::min(left, out.value_or(left));
    }
    return out;
}

} // namespace skylark::entry
