// Choice of the upstream for a request.
#include "entry/router.hpp"

#include <algorithm>

namespace skylark::entry {

namespace {
// Requests added to the load of a cold upstream, which answers slowly: with
// equal requests in flight a warm one is chosen.
constexpr std::uint32_t cold_penalty = 2;
constexpr duration utilization_validity = seconds{1};
} // namespace

std::string_view name_of(exclusion reason) {
    switch (reason) {
    case exclusion::none:
        return "candidate";
    case exclusion::unlisted:
        return "not in the instance list";
    case exclusion::leaving:
        return "leaving";
    case exclusion::said_leaving:
        return "leaving by its own word";
    case exclusion::resting:
        return "asked for a pause";
    case exclusion::zone_inactive:
        return "zone is not active";
    case exclusion::draining:
        return "draining";
    case exclusion::cold:
        return "in cold start";
    case exclusion::unhealthy:
        return "health check failed";
    case exclusion::no_connection:
        return "connection limit reached";
    case exclusion::no_share:
        break;
    }
    return "no free share";
}

std::optional<share_kind> router::share_for(const service& of,
                                            upstream_state state,
                                            request_class wanted) {
    if (!of.m_shares)
        return std::nullopt;
    if (state == upstream_state::cold)
        return share_kind::cold;
    if (wanted == request_class::bulk)
        return share_kind::bulk;
    return std::nullopt;
}

std::uint32_t router::limit_of(const service& of, share_kind kind) {
    switch (kind) {
    case share_kind::cold:
        return of.m_cold_slots;
    case share_kind::bulk:
        return std::max<std::uint32_t>(
            1, of.m_slots - std::min(of.m_slots, of.m_urgent_reserve));
    case share_kind::probe:
        break;
    }
    return 1;
}

std::uint32_t router::connection_limit() const {
    const auto members = static_cast<std::uint32_t>(std::max<std::size_t>(
        m_shared.m_fleet.size(), m_shared.m_settings.m_seeds.size() + 1));
    const auto fleet_limit =
        m_shared.m_config.current().m_limits.m_connections_per_upstream;
    return std::max<std::uint32_t>(1, fleet_limit / members);
}

exclusion router::exclusion_of(const upstream& candidate, const service& of,
                               request_class wanted, time_point now,
                               std::optional<share_kind>& share) const {
    if (!candidate.listed(now))
        return exclusion::unlisted;
    if (candidate.m_leaving)
        return exclusion::leaving;
    if (!candidate.m_zone_active)
        return exclusion::zone_inactive;
    if (candidate.m_availability.leaving())
        return exclusion::said_leaving;
    if (!candidate.m_availability.usable(now))
        return exclusion::resting;
    const upstream_state state = candidate.m_load.state(now);
    if (state == upstream_state::draining)
        return exclusion::draining;
    if (!of.m_shares && candidate.m_cold_until > now)
        return exclusion::cold;
    if (candidate.m_idle.empty() &&
        candidate.m_connections >= connection_limit())
        return exclusion::no_connection;
    share = share_for(of, state, wanted);
    if (!share)
        return exclusion::none;
    const auto used = candidate.m_share_use[static_cast<std::size_t>(*share)];
    const auto usable =
        m_shared.m_fleet.usable(candidate.m_id, *share, limit_of(of, *share));
    return used < usable ? exclusion::none : exclusion::no_share;
}

const service& router::service_of(const request& of) const {
    const service* current =
        m_shared.m_config.current().find_service(of.m_service.m_name);
    return current ? *current : of.m_service;
}

std::optional<route_choice> router::choose(const request& of, time_point now) {
    const service& config = service_of(of);
    m_candidates.clear();
    for (const upstream_id key :
         m_shared.m_upstreams.of_service(config.m_name)) {
        const auto tried = std::find(of.m_tried.begin(), of.m_tried.end(), key);
        if (tried != of.m_tried.end())
            continue;
        const upstream& item = *m_shared.m_upstreams.find(key);
        std::optional<share_kind> share;
        if (!m_shared.m_rollouts.admits(of, item) ||
            exclusion_of(item, config, of.m_class, now, share) !=
                exclusion::none)
            continue;
        const std::uint32_t cold = share == share_kind::cold ? cold_penalty : 0;
        m_candidates.push_back({key, item.m_load.in_flight(),
                                item.m_load.penalty(now) + cold,
                                item.m_preference});
    }
    const auto chosen =
        skylark::choose(policy_of(config), m_candidates, m_random);
    if (!chosen)
        return std::nullopt;
    const upstream& target = *m_shared.m_upstreams.find(*chosen);
    return route_choice{
        *chosen, share_for(config, target.m_load.state(now), of.m_class)};
}

policy& router::policy_of(const service& of) {
    named_policy& cached = m_policies[of.m_name];
    if (cached.m_name != of.m_policy)
        cached = {of.m_policy, make_policy(of.m_policy)};
    return cached.m_policy;
}

bool router::has_eligible_upstream(std::string_view service) {
    const auto& keys = m_shared.m_upstreams.of_service(service);
    const time_point now = io::event_loop::now();
    return std::any_of(keys.begin(), keys.end(), [&](upstream_id key) {
        const upstream* item = m_shared.m_upstreams.find(key);
        return item->eligible(now);
    });
}

bool router::can_serve(const service& of, request_class wanted) {
    const auto& keys = m_shared.m_upstreams.of_service(of.m_name);
    const time_point now = io::event_loop::now();
    return std::any_of(keys.begin(), keys.end(), [&](upstream_id key) {
        const upstream* item = m_shared.m_upstreams.find(key);
        if (!item->eligible(now))
            return false;
        const auto share = share_for(of, item->m_load.state(now), wanted);
        return !share ||
               m_shared.m_fleet.usable(key, *share, limit_of(of, *share)) > 0;
    });
}

std::optional<address> router::random_slot_owner(const service& of,
                                                 request_class wanted) {
    const auto& keys = m_shared.m_upstreams.of_service(of.m_name);
    if (keys.empty())
        return std::nullopt;
    const auto& peers = m_shared.m_fleet.peers();
    const time_point now = io::event_loop::now();
    constexpr int max_draws = 8;
    for (int i = 0; i < max_draws; ++i) {
        const auto index = m_random(static_cast<std::uint32_t>(keys.size()));
        const upstream* item = m_shared.m_upstreams.find(keys[index]);
        const auto share = share_for(of, item->m_load.state(now), wanted);
        if (!share || !item->eligible(now))
            continue;
        const std::uint32_t slot = m_random(limit_of(of, *share));
        const auto id = m_shared.m_fleet.owner(item->m_id, *share, slot);
        const auto owner = id ? peers.find(*id) : peers.end();
        if (owner != peers.end() &&
            owner->second.m_state == member_state::active)
            return owner->second.m_record.m_contact.m_callers;
    }
    return std::nullopt;
}

double router::utilization(std::string_view service, time_point now) {
    std::uint32_t used = 0;
    std::uint32_t slots = 0;
    for (const upstream_id key : m_shared.m_upstreams.of_service(service)) {
        const upstream_load& load = m_shared.m_upstreams.find(key)->m_load;
        if (load.report_age(now) > utilization_validity)
            continue;
        const load_report& report = load.last_report();
        used += std::min(report.m_used + report.m_queue, report.m_slots);
        slots += report.m_slots;
    }
    return slots == 0 ? 1.0 : static_cast<double>(used) / slots;
}

} // namespace skylark::entry
