// Admission: from the caller's request to a place in a queue.
#include <skylark/rule/classify.hpp>

#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
constexpr auto sweep_period = milliseconds{50};
constexpr auto old_connections_period = seconds{1};
// When it is not known how soon a further try makes sense.
constexpr auto usual_come_back = milliseconds{300};
constexpr double hedge_cap = 10.0; // attempts saved up
// Bytes an upstream's answer may wait in the kernel, for each connection.
constexpr int receive_buffer = 128 << 10;
} // namespace

forwarder::forwarder(context& shared, io::http_server& callers,
                     std::uint64_t seed)
    : m_shared{shared}, m_callers{callers}, m_client{shared.m_loop,
                                                     {seconds{2},
                                                      receive_buffer}},
      m_pool{shared, m_client}, m_prober{shared, m_client, m_pool},
      m_router{shared, seed}, m_hedge_budget{hedge_cap} {
    m_shared.m_loop.every(sweep_period, [this] { sweep(); });
    m_shared.m_loop.every(old_connections_period,
                          [this] { m_pool.close_expired(); });
}

void forwarder::accept(exchange_id key, const io::request_view& from) {
    if (!m_shared.m_config.ready()) {
        refuse_at_once(key, from, io::status::unavailable,
                       "no configuration yet", request_class::normal,
                       usual_come_back);
        return;
    }
    const document& config = m_shared.m_config.current();
    const rule* under =
        classify(config.m_rules, from.m_method, from.m_path, from.m_host,
                 [&](std::string_view name) {
                     return io::find_header(from.m_headers, name);
                 });
    if (!under) {
        refuse_at_once(key, from, io::status::not_found,
                       "no rule matches " + std::string{from.m_method} + ' ' +
                           std::string{from.m_path},
                       request_class::normal, usual_come_back);
        return;
    }
    const std::string& service = service_of(*under);
    if (m_shared.m_isolated)
        refuse_at_once(key, from, io::status::unavailable,
                       "this entry reaches neither store nor majority",
                       under->m_class, usual_come_back);
    else if (!m_router.has_eligible_upstream(service))
        refuse_at_once(key, from, io::status::unavailable,
                       "service " + service + " has no upstream",
                       under->m_class, come_back(service));
    else
        admit(key, from, *under, service);
}

const std::string& forwarder::service_of(const rule& under) {
    if (under.m_split.empty())
        return under.m_service;
    return under.m_split[m_splits[under.m_name].next(under.m_split)].m_service;
}

// A service whose upstreams are all cold serves again when the first is warm.
duration forwarder::come_back(const std::string& service) {
    const auto warm = m_router.time_until_warm(service, io::event_loop::now());
    return std::max<duration>(usual_come_back, warm.value_or(duration{0}));
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

void forwarder::refuse_at_once(exchange_id key, const io::request_view& from,
                               int status, std::string_view reason,
                               request_class of, duration come_back,
                               std::optional<address> elsewhere) {
    const auto headers = std::visit(
        [&](const auto& kind) {
            return kind.refusal_headers(not_run{not_run_proof::not_admitted},
                                        come_back, elsewhere);
        },
        m_shared.m_dialect);
    m_shared.m_metrics.finished(of, outcome::not_run, duration{0});
    log_refusal(request_name(from), {}, status, reason, come_back);
    m_callers.answer(key, status, headers, std::string{reason} + "\n");
}

void forwarder::admit(exchange_id key, const io::request_view& from,
                      const rule& under, const std::string& service) {
    if (!m_router.can_serve(service, under.m_class)) {
        refuse_at_once(key, from, io::status::unavailable,
                       "this entry owns no slot of service " + service,
                       under.m_class, usual_come_back,
                       m_router.random_slot_owner(service, under.m_class));
        return;
    }
    const limits& bounds = m_shared.m_config.current().m_limits;
    auto& line = m_queues[service];
    if (line.queue(under.m_class).size() >= bounds.m_queue_length) {
        refuse_at_once(key, from, io::status::unavailable, "queue is full",
                       under.m_class, come_back(service));
        return;
    }
    const time_point now = io::event_loop::now();
    // After a pause the request may have waited in the kernel all along.
    const duration pause = m_shared.m_loop.detect_pause();
    const auto asked =
        std::visit([&](const auto& kind) { return kind.caller_deadline(from); },
                   m_shared.m_dialect);
    const duration wait =
        std::min(under.m_deadline, asked.value_or(under.m_deadline)) - pause;
    usual_deadline& usual = m_usual_deadlines[under.m_name];
    if (asked)
        usual.add(*asked);
    const duration waited =
        pause + (asked ? usual.estimate_wait(*asked) : duration{0});
    const request_id made = m_requests.emplace(request{
        key, service, under.m_name, under.m_class,
        attempt_machine{{under.m_idempotent, now + wait, under.m_max_attempts}},
        now, forward_head(from, m_shared.m_dialect), from.m_method == "HEAD"});
    request& of = *m_requests.find(made);
    of.m_rank = under.m_rank;
    of.m_target =
        now + (under.m_target > duration{0} ? under.m_target - waited : wait);
    of.m_name = request_name(from);
    m_by_exchange[key] = made;
    of.m_deadline_timer = m_shared.m_loop.after(wait, [this, made] {
        if (request* found = m_requests.find(made))
            apply(made, found->m_machine.expired());
    });
    retry_budget(service).deposit(bounds.m_retry_percent);
    if (under.m_idempotent) {
        m_hedge_budget.deposit(m_hedge_percent[service]);
        if (under.m_class != request_class::bulk && bounds.m_hedge_percent > 0)
            of.m_hedge_timer = m_shared.m_loop.after(
                bounds.m_hedge_after, [this, made] { hedge(made); });
    }
    of.m_queued = true;
    line.push(under.m_class, made);
    pump_service(service);
}

std::size_t forwarder::queued() const {
    std::size_t sum = 0;
    for (const auto& [name, line] : m_queues)
        sum += line.size();
    return sum;
}

void forwarder::pump() {
    for (const auto& [name, line] : m_queues)
        pump_service(name);
}

// Urgent work first at every choice; a class that is stuck does not stop the
// next one, which may use other shares.
void forwarder::pump_service(const std::string& name) {
    for (const auto of :
         {request_class::urgent, request_class::normal, request_class::bulk})
        while (start_next(name, of)) {
        }
}

bool forwarder::start_next(const std::string& name, request_class of) {
    auto& line = m_queues[name].queue(of);
    if (line.empty() || m_shared.m_isolated)
        return false;
    const request_id key = line.front();
    request& waiting = *m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!waiting.m_machine.may_start(now)) {
        line.pop_front();
        waiting.m_queued = false;
        apply(key, waiting.m_machine.expired());
        return true;
    }
    const service* config = m_shared.m_config.current().find_service(name);
    if (config && config->m_ask) {
        line.pop_front();
        waiting.m_queued = false;
        begin_asking(key);
        return true;
    }
    auto choice = m_router.choose(waiting, now);
    if (!choice && !waiting.m_tried.empty()) {
        waiting.m_tried.clear();
        choice = m_router.choose(waiting, now);
    }
    if (!choice)
        return false;
    line.pop_front();
    waiting.m_queued = false;
    start(key, waiting, *choice, false);
    return true;
}

} // namespace skylark::entry
