// Zones: which part of the requests leaves this entry's zone.
#include <algorithm>

#include "entry/forwarder.hpp"

namespace skylark::entry {

zone_share& forwarder::zone_share_of(const std::string& service) {
    return m_zone_shares.try_emplace(service, m_shared.m_settings.m_zone)
        .first->second;
}

// Without a price of zones nothing is recorded or chosen here.
void forwarder::choose_zone(request& req) {
    req.m_zones = {};
    const duration price = m_shared.m_settings.m_zone_price;
    if (price == duration{0})
        return;
    const time_point now = io::event_loop::now();
    const std::string& service = req.m_service.m_name;
    zone_share& share = zone_share_of(service);
    const bool left_before = share.leaving();
    auto others = m_router.usable_zones(req, now);
    const bool own_usable =
        std::erase_if(others, [&](const zone_distance& item) {
            return item.m_zone == m_shared.m_settings.m_zone;
        }) > 0;
    share.update(now,
                 {price, req.m_target, path_time::least_timeout, own_usable},
                 others);
    if (share.leaving() != left_before)
        note_zone_share(service, share, now);
    m_shared.m_metrics.set_zone_share(service, share.share());
    req.m_zones.m_priced = true;
    req.m_zones.m_leaves = share.draw(m_router.random());
    req.m_zones.m_own_short = share.leaving();
    if (!req.m_zones.m_leaves)
        req.m_zones.m_penalty = zone_penalty(req, others);
}

// Price and path of another zone in service times, as costs of upstreams are.
double forwarder::zone_penalty(const request& req,
                               std::span<const zone_distance> others) {
    const zone_choice usual;
    const duration work = m_service_times[req.m_rule].service_time();
    const auto nearest = std::min_element(
        others.begin(), others.end(), [](const auto& left, const auto& right) {
            return left.m_round_trip < right.m_round_trip;
        });
    if (work <= duration{0} || nearest == others.end())
        return usual.m_penalty;
    const duration extra =
        m_shared.m_settings.m_zone_price + nearest->m_round_trip;
    return std::max(usual.m_penalty,
                    std::chrono::duration<double>{extra} / work);
}

void forwarder::note_zone_share(const std::string& service,
                                const zone_share& share, time_point now) {
    constexpr double whole = 100.0;
    const auto room = static_cast<int>(share.own_room(now) * whole);
    m_shared.m_journal.note(
        event_kind::zone, "requests of " + service,
        std::string{share.leaving() ? "leaves" : "stays"} +
            " own_room=" + std::to_string(room) + " share=" +
            std::to_string(static_cast<int>(share.share() * whole)));
}

void forwarder::record_unanswered(const request& req, upstream_id from) {
    const upstream* probed = m_shared.m_upstreams.find(from);
    if (probed && !probed->m_omits_load && req.m_zones.m_priced)
        zone_share_of(req.m_service.m_name)
            .unanswered(probed->m_zone, io::event_loop::now());
}

// A probe that was overdue already counts as unanswered, and a late response
// only shows that its zone answers.
void forwarder::record_zone_room(const request& req, const upstream& probed,
                                 bool was_overdue) {
    if (!req.m_zones.m_priced || probed.m_omits_load)
        return;
    const time_point now = io::event_loop::now();
    const duration most_age =
        path_time::least_timeout + m_shared.m_paths.allowance(probed.m_zone);
    if (probed.m_load.report_age(now) <= most_age && !probed.m_load.suspect())
        zone_share_of(req.m_service.m_name)
            .answered(probed.m_zone, now,
                      has_timely_room(probed.m_load.last_report(),
                                      room_terms_for(req, now)));
    else if (!was_overdue)
        record_unanswered(req, probed.m_id);
}

} // namespace skylark::entry
