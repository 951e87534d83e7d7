// Admission: matches a caller's request to a rule and queues or refuses it.
#include <skylark/rule/classify.hpp>

#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
constexpr auto sweep_period = milliseconds{50};
constexpr auto idle_check_period = seconds{1};
// Without a refusal for this long, requests are taken for new ones: callers
// return within a third of their deadlines.
constexpr auto calm_period = seconds{1};
constexpr double hedge_budget_cap = 10.0; // attempts
} // namespace

forwarder::forwarder(context& shared, io::http_server& callers,
                     std::uint64_t seed)
    : m_shared{shared}, m_callers{callers}, m_client{shared.m_loop,
                                                     {},
                                                     &shared.m_windows},
      m_pool{shared, m_client}, m_prober{shared, m_client, m_pool},
      m_router{shared, seed}, m_hedge_budget{hedge_budget_cap} {
    m_shared.m_loop.every(sweep_period, [this] { sweep(); });
    m_shared.m_loop.every(idle_check_period,
                          [this] { m_pool.close_expired(); });
}

void forwarder::accept(exchange_id key, const io::request_view& from) {
    if (!m_shared.m_config.ready()) {
        refuse_on_arrival(key, from, io::status::unavailable,
                          "no configuration yet", request_class::normal,
                          retry_after_starting());
        return;
    }
    const document& config = m_shared.m_config.current();
    const rule* matched =
        classify(config.m_rules, from.m_method, from.m_path, from.m_host,
                 [&](std::string_view name) {
                     return io::find_header(from.m_headers, name);
                 });
    if (!matched) {
        refuse_unmatched(key, from);
        return;
    }
    const authentication caller = authenticate(from, *matched);
    if (!caller.m_permitted) {
        refuse_unauthenticated(key, from);
        return;
    }
    const request_class wanted = class_of_request(*matched, caller.m_team);
    const std::string& name = select_service(*matched);
    if (m_shared.m_isolated)
        refuse_on_arrival(key, from, io::status::unavailable,
                          "this entry reaches neither store nor majority",
                          wanted, retry_after_without(name));
    else if (!m_router.has_eligible_upstream(name))
        refuse_on_arrival(key, from, io::status::unavailable,
                          "service " + name + " has no usable upstream", wanted,
                          retry_after_without(name));
    else // check() has refused rules of services that are not declared
        admit(key, from, *matched, *config.find_service(name), caller.m_team);
}

bool forwarder::may_begin_early(const io::request_view& from) const {
    if (!m_shared.m_config.ready())
        return false;
    const rule* matched =
        classify(m_shared.m_config.current().m_rules, from.m_method,
                 from.m_path, from.m_host, [&](std::string_view name) {
                     return io::find_header(from.m_headers, name);
                 });
    return matched && matched->m_idempotent;
}

const std::string& forwarder::select_service(const rule& matched) {
    if (matched.m_split.empty())
        return matched.m_service;
    return matched.m_split[m_splits[matched.m_name].next(matched.m_split)]
        .m_service;
}

ratio_budget& forwarder::retry_budget(const std::string& service) {
    const auto members = static_cast<double>(m_shared.m_fleet.size());
    const double burst = m_shared.m_config.current().m_limits.m_retry_burst;
    const double cap = std::max(1.0, burst / members);
    ratio_budget& out = m_retry_budgets.try_emplace(service, cap).first->second;
    out.set_cap(cap);
    return out;
}

std::string forwarder::request_name(const io::request_view& from) const {
    return std::visit(
        [&](const auto& kind) { return std::string{kind.request_name(from)}; },
        m_shared.m_dialect);
}

arrival_span forwarder::waited_for_process(exchange_id key) {
    const duration pause = m_shared.m_loop.detect_pause();
    if (pause == duration{0})
        return {};
    return arrival_span::behind(pause, m_callers.since_input(key));
}

void forwarder::admit(exchange_id key, const io::request_view& from,
                      const rule& matched, const service& target,
                      const team* whose) {
    const request_class wanted = class_of_request(matched, whose);
    const bool can_serve = m_router.can_serve(target, wanted);
    if (!can_serve && m_shared.m_drain) {
        refuse_leaving(key, from, wanted);
        return;
    }
    if (!can_serve) {
        refuse_on_arrival(key, from, io::status::unavailable,
                          "this entry owns no slot of service " + target.m_name,
                          wanted, retry_after_without(target.m_name),
                          m_router.random_slot_owner(target, wanted));
        return;
    }
    const limits& bounds = m_shared.m_config.current().m_limits;
    const time_point now = io::event_loop::now();
    const auto requested =
        std::visit([&](const auto& kind) { return kind.caller_deadline(from); },
                   m_shared.m_dialect);
    const duration allowed =
        std::min(matched.m_deadline, requested.value_or(matched.m_deadline));
    const arrival_span span = waited_for_process(key);
    // What may be overdue is refused before it is sent.
    const duration time_left =
        span.m_longest < allowed ? allowed - span.m_least : duration{0};
    if (!m_shared.may_pass_on(now + time_left)) {
        refuse_leaving(key, from, wanted);
        return;
    }
    auto& queues = m_queues[target.m_name];
    if (queues.queue(wanted).size() >= bounds.m_queue_length) {
        refuse_on_arrival(key, from, io::status::unavailable, "queue is full",
                          wanted, retry_after_without(target.m_name));
        return;
    }
    deadline_range& range = m_deadline_ranges[matched.m_name];
    if (requested &&
        now - m_services[target.m_name].m_last_refusal > calm_period)
        range.add(*requested);
    const duration waited =
        span.m_longest +
        (requested ? range.least_wait(*requested) : duration{0});
    const request_id admitted = m_requests.emplace(
        request{key, target, matched.m_name, wanted,
                attempt_machine{{matched.m_idempotent, now + time_left,
                                 matched.m_max_attempts}},
                now,
                forward_head(from, m_shared.m_dialect,
                             {!m_shared.m_teams.empty(),
                              whose ? std::string_view{whose->m_name} : ""}),
                from.m_method == "HEAD"});
    m_last_admission = now;
    request& req = *m_requests.find(admitted);
    req.m_shortened = allowed - time_left;
    req.m_rank = rank_of_request(matched, whose);
    if (whose)
        req.m_team = whose->m_name;
    req.m_version_choice =
        m_shared.m_rollouts.draw(target.m_name, m_router.random());
    req.m_target =
        matched.m_target > duration{0} ? matched.m_target : time_left + waited;
    req.m_target_time = now + req.m_target - waited;
    req.m_name = request_name(from);
    if (requested)
        req.m_caller_leaves = now + *requested - span.m_least;
    m_by_exchange[key] = admitted;
    bound_request(admitted, req);
    request_token(admitted);
}

std::size_t forwarder::queued() const {
    std::size_t sum = 0;
    for (const auto& [name, queues] : m_queues)
        sum += queues.size();
    return sum;
}

void forwarder::dispatch_queued() {
    for (const auto& [name, queues] : m_queues)
        dispatch_service(name);
}

// Dispatches by class, urgent requests first. A class without a usable upstream
// does not block the next one, which may use other shares.
void forwarder::dispatch_service(const std::string& name) {
    for (const auto wanted :
         {request_class::urgent, request_class::normal, request_class::bulk})
        while (dispatch_next(name, wanted)) {
        }
}

bool forwarder::dispatch_next(const std::string& name, request_class wanted) {
    auto& queue = m_queues[name].queue(wanted);
    if (queue.empty() || m_shared.m_isolated)
        return false;
    const request_id key = queue.front();
    request& waiting = *m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!waiting.m_machine.may_start(now)) {
        queue.pop_front();
        waiting.m_queued = false;
        apply(key, waiting.m_machine.expired());
        return true;
    }
    if (m_router.service_of(waiting).m_ask) {
        queue.pop_front();
        waiting.m_queued = false;
        begin_probing(key);
        return true;
    }
    auto choice = m_router.choose(waiting, now);
    if (!choice && !waiting.m_tried.empty()) {
        waiting.m_tried.clear();
        choice = m_router.choose(waiting, now);
    }
    if (!choice && m_shared.m_rollouts.fall_back(waiting))
        choice = m_router.choose(waiting, now);
    if (!choice && m_router.has_eligible_upstream(name))
        return false;
    queue.pop_front();
    waiting.m_queued = false;
    if (choice)
        begin_attempt(key, waiting, *choice, false);
    else // would wait in vain; its caller learns when to return
        apply(key, waiting.m_machine.rejected());
    return true;
}

bool forwarder::within_owned_shares() {
    const document& config = m_shared.m_config.current();
    for (auto& [key, target] : m_shared.m_upstreams.all()) {
        const service* service_config = config.find_service(target.m_service);
        for (const auto kind : {share_kind::cold, share_kind::bulk}) {
            const std::uint32_t used = target.share_use(kind);
            if (used == 0)
                continue;
            const std::uint32_t slots =
                service_config ? router::limit_of(*service_config, kind) : 0;
            if (used > m_shared.m_fleet.usable(key, kind, slots))
                return false;
        }
    }
    return true;
}

} // namespace skylark::entry
