// Asking: loads just before a request is sent, and who takes the request.
#include <algorithm>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {
// After this the answers that are in decide: about four round trips between
// zones, with a connection's set-up.
constexpr auto ask_patience = milliseconds{8};
} // namespace

void forwarder::begin_asking(request_id key) {
    request& of = *m_requests.find(key);
    of.m_asked.clear();
    of.m_unanswered.clear();
    plan(key, true);
}

// This entry's part of the questions that all entries may put to a service.
token_bucket& forwarder::question_budget(const std::string& service) {
    const auto members = static_cast<double>(m_shared.m_fleet.size());
    const auto upstreams =
        static_cast<double>(m_shared.m_upstreams.of_service(service).size());
    const double each =
        m_shared.m_config.current().m_limits.m_probes_per_upstream;
    const double rate = each * upstreams / members;
    const double burst = std::max<double>(max_probes_per_step, rate);
    token_bucket& out =
        m_question_budgets
            .try_emplace(service, rate, burst, max_probes_per_step)
            .first->second;
    out.set_rate(rate, burst);
    return out;
}

// Until answers have shown how long the work of a rule takes, the usual terms
// hold.
probe_options forwarder::terms_of(const request& of, bool patient,
                                  time_point now) {
    probe_options out;
    out.m_wait_for_pending = patient;
    out.m_probe_budget = question_budget(of.m_service).available(now);
    const auto known = m_work.find(of.m_rule);
    if (known == m_work.end() || known->second.service_time() <= duration{0})
        return out;
    const std::chrono::duration<double> left = of.m_target - now;
    const std::chrono::duration<double> work = known->second.service_time();
    out.m_max_expected_time = left / work;
    out.m_saturation_slowdown = known->second.saturation_slowdown();
    return out;
}

// Only an upstream without a queue shows how long the work itself took.
void forwarder::learn_work(const request& of, const attempt& by,
                           duration took) {
    if (!by.m_report || by.m_report->m_queue > 0 ||
        by.m_report->m_used >= by.m_report->m_slots)
        return;
    const double slowness =
        by.m_report->m_slowness / static_cast<double>(nominal_slowness);
    m_work[of.m_rule].add_sample(took, slowness, near_saturation(*by.m_report));
}

void forwarder::plan(request_id key, bool patient) {
    request& of = *m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!of.m_machine.may_start(now)) {
        apply(key, of.m_machine.expired());
        return;
    }
    const auto candidates = m_router.probe_candidates(of, now);
    const probe_options terms = terms_of(of, patient, now);
    const probe_step step =
        plan_probe_step(candidates, terms, m_router.random());
    std::visit(overloaded{[&](const probe_upstreams& next) {
                              ask(key, of, next.m_targets);
                          },
                          [&](const send_to_upstream& chosen) {
                              m_shared.m_loop.cancel(of.m_ask_timer);
                              of.m_ask_timer = {};
                              start(key, of, {chosen.m_upstream, {}}, false);
                          },
                          [](const await_probes&) {},
                          [&](const no_upstream_available&) {
                              m_shared.m_loop.cancel(of.m_ask_timer);
                              of.m_ask_timer = {};
                              apply(key, of.m_machine.rejected());
                          }},
               step);
}

void forwarder::ask(request_id key, request& of,
                    const std::vector<upstream_id>& whom) {
    const service* config =
        m_shared.m_config.current().find_service(of.m_service);
    m_shared.m_loop.cancel(of.m_ask_timer);
    of.m_ask_timer = m_shared.m_loop.after(ask_patience, [this, key] {
        if (request* found = m_requests.find(key)) {
            found->m_ask_timer = {};
            if (found->m_attempts.empty() && !found->m_queued)
                plan(key, false);
        }
    });
    token_bucket& budget = question_budget(of.m_service);
    for (const upstream_id target : whom) {
        budget.take(io::event_loop::now());
        of.m_asked.push_back(target);
        of.m_unanswered.push_back(target);
        m_prober.probe(*m_shared.m_upstreams.find(target),
                       config->m_health_path,
                       [this, key, target] { heard(key, target); });
    }
}

void forwarder::heard(request_id key, upstream_id from) {
    request* of = m_requests.find(key);
    if (!of || std::erase(of->m_unanswered, from) == 0)
        return;
    // An answer that comes after the request was sent, or went back into the
    // queue, has been taken in for the next one.
    const bool planning = of->m_attempts.empty() && !of->m_queued &&
                          !of->m_machine.done() &&
                          !of->m_machine.answer_has_begun();
    if (planning)
        plan(key, bool{of->m_ask_timer});
}

} // namespace skylark::entry
