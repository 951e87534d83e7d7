// Probing: requests load reports just before a request is sent and selects the
// upstream.
#include <algorithm>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {
// A request that found no room within this part of its target is refused, while
// its caller still has the time to return. Time on the path to far zones does
// not count, see request::m_probing_allowance.
constexpr int max_probing_part = 8;
// Probes not used for this long are kept for overload, in which each request
// needs more of them. The bound on probes is one of a whole day's average.
constexpr std::chrono::duration<double> probe_reserve{10.0};
} // namespace

void forwarder::begin_probing(request_id key) {
    request& req = *m_requests.find(key);
    req.m_probed.clear();
    req.m_pending_probes.clear();
    req.m_overdue_probes.clear();
    req.m_probing_since = io::event_loop::now();
    req.m_probing_allowance = {};
    choose_zone(req);
    plan_probes(key, true);
}

// This entry's part of the probes that all entries together may send to a
// service.
token_bucket& forwarder::probe_budget(const std::string& service) {
    const auto members = static_cast<double>(m_shared.m_fleet.size());
    const auto upstreams =
        static_cast<double>(m_shared.m_upstreams.of_service(service).size());
    const double each =
        m_shared.m_config.current().m_limits.m_probes_per_upstream;
    const double rate = each * upstreams / members;
    const double burst =
        std::max<double>(max_probes_per_step, rate * probe_reserve.count());
    token_bucket& out =
        m_probe_budgets.try_emplace(service, rate, burst, max_probes_per_step)
            .first->second;
    out.set_rate(rate, burst);
    return out;
}

probe_options forwarder::probe_options_for(const request& req,
                                           bool wait_for_pending,
                                           time_point now) {
    const bool may_probe =
        now - req.m_probing_since <
        req.m_target / max_probing_part + req.m_probing_allowance;
    return {wait_for_pending,
            may_probe ? probe_budget(req.m_service.m_name).available(now) : 0,
            room_terms_for(req, now), req.m_zones};
}

room_terms forwarder::room_terms_for(const request& req, time_point now) {
    return make_room_terms(req.m_target_time - now, req.m_target,
                           m_service_times[req.m_rule],
                           m_services[req.m_service.m_name].m_room.scarce(now));
}

void forwarder::record_room(const request& req, const upstream& probed) {
    const time_point now = io::event_loop::now();
    const duration most_age =
        path_time::least_timeout + m_shared.m_paths.allowance(probed.m_zone);
    if (probed.m_load.report_age(now) > most_age)
        return;
    const bool has_room =
        has_timely_room(probed.m_load.last_report(), room_terms_for(req, now));
    m_services[req.m_service.m_name].m_room.add(now, has_room);
}

// Only a response of an upstream without a queue shows the service time; other
// latencies include time in the queue.
void forwarder::record_service_time(const request& req, const attempt& finished,
                                    duration took) {
    if (!finished.m_report || finished.m_report->m_queue > 0 ||
        finished.m_report->m_used >= finished.m_report->m_slots)
        return;
    const double slowness =
        finished.m_report->m_slowness / static_cast<double>(nominal_slowness);
    m_service_times[req.m_rule].add_sample(took, slowness,
                                           near_saturation(*finished.m_report));
}

void forwarder::plan_probes(request_id key, bool wait_for_pending) {
    request& req = *m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!req.m_machine.may_start(now)) {
        apply(key, req.m_machine.expired());
        return;
    }
    const probe_options options = probe_options_for(req, wait_for_pending, now);
    const auto candidates = m_router.probe_candidates(
        req, options.m_room.m_scarce, now, zone_share_of(req.m_service.m_name));
    const probe_step step =
        plan_probe_step(candidates, options, m_router.random());
    std::visit(
        overloaded{[&](const probe_upstreams& next) {
                       send_probes(key, req, next.m_targets);
                   },
                   [&](const send_to_upstream& chosen) {
                       m_shared.m_loop.cancel(req.m_probe_timer);
                       req.m_probe_timer = {};
                       begin_attempt(key, req, {chosen.m_upstream, {}}, false);
                   },
                   [](const await_probes&) {},
                   [&](const no_upstream_available&) {
                       m_shared.m_loop.cancel(req.m_probe_timer);
                       req.m_probe_timer = {};
                       if (m_shared.m_rollouts.fall_back(req))
                           begin_probing(key);
                       else
                           apply(key, req.m_machine.rejected());
                   }},
        step);
}

// Time after which the probes of a step are overdue and the next step is
// planned without their answers: the longest that one of the paths takes.
duration forwarder::probe_timeout(const std::vector<upstream_id>& targets) {
    duration longest = path_time::least_timeout;
    for (const upstream_id key : targets) {
        const upstream& target = *m_shared.m_upstreams.find(key);
        longest = std::max(longest, m_shared.m_paths.timeout(
                                        target.m_zone, target.m_idle.empty()));
    }
    return longest;
}

void forwarder::send_probes(request_id key, request& req,
                            const std::vector<upstream_id>& targets) {
    const std::string& health_path = m_router.service_of(req).m_health_path;
    m_shared.m_loop.cancel(req.m_probe_timer);
    const duration timeout = probe_timeout(targets);
    req.m_probing_allowance += timeout - path_time::least_timeout;
    req.m_probe_timer = m_shared.m_loop.after(timeout, [this, key] {
        if (request* found = m_requests.find(key)) {
            found->m_probe_timer = {};
            for (const upstream_id late : found->m_pending_probes)
                record_unanswered(*found, late);
            found->m_overdue_probes.insert(found->m_overdue_probes.end(),
                                           found->m_pending_probes.begin(),
                                           found->m_pending_probes.end());
            found->m_pending_probes.clear();
            if (found->m_attempts.empty() && !found->m_queued)
                plan_probes(key, false);
        }
    });
    token_bucket& budget = probe_budget(req.m_service.m_name);
    for (const upstream_id target : targets) {
        budget.take(io::event_loop::now());
        req.m_probed.push_back(target);
        req.m_pending_probes.push_back(target);
        m_prober.probe(*m_shared.m_upstreams.find(target), health_path,
                       [this, key, target] { probe_finished(key, target); });
    }
}

void forwarder::probe_finished(request_id key, upstream_id from) {
    request* req = m_requests.find(key);
    if (!req)
        return;
    const bool was_overdue = std::erase(req->m_overdue_probes, from) > 0;
    if (std::erase(req->m_pending_probes, from) == 0 && !was_overdue)
        return;
    if (const upstream* probed = m_shared.m_upstreams.find(from)) {
        record_room(*req, *probed);
        record_zone_room(*req, *probed, was_overdue);
    }
    // If the request was sent or queued again in the meantime, the report has
    // been recorded for later requests and there is nothing to plan.
    const bool planning = req->m_attempts.empty() && !req->m_queued &&
                          !req->m_machine.done() &&
                          !req->m_machine.answer_has_begun();
    if (planning)
        plan_probes(key, bool{req->m_probe_timer});
}

} // namespace skylark::entry
