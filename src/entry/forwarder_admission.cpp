// Admission: from the caller's request to a place in a queue.
#include <skylark/rule/classify.hpp>

#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
constexpr auto sweep_period = milliseconds{50};
constexpr auto old_connections_period = seconds{1};
constexpr double retry_cap = 20.0; // attempts saved up
constexpr double hedge_cap = 10.0; // attempts saved up
// Bytes an upstream's answer may wait in the kernel, for each connection.
constexpr int receive_buffer = 128 << 10;
} // namespace

forwarder::forwarder(context& shared, io::http_server& callers,
                     std::uint64_t seed)
    : m_shared{shared}, m_callers{callers}, m_client{shared.m_loop,
                                                     {seconds{2},
                                                      receive_buffer}},
      m_pool{shared, m_client}, m_router{shared, seed},
      m_retry_budget{retry_cap}, m_hedge_budget{hedge_cap} {
    m_shared.m_loop.every(sweep_period, [this] { sweep(); });
    m_shared.m_loop.every(old_connections_period,
                          [this] { m_pool.close_old(); });
}

void forwarder::accept(exchange_id key, const io::request_view& from) {
    if (!m_shared.m_config.ready()) {
        refuse_at_once(key, io::status::unavailable, "no configuration yet",
                       request_class::normal);
        return;
    }
    const document& config = m_shared.m_config.current();
    const rule* under = classify(
        config.m_rules, from.m_method, from.m_path, [&](std::string_view name) {
            return io::find_header(from.m_headers, name);
        });
    if (!under)
        refuse_at_once(key, io::status::not_found,
                       "no rule matches " + std::string{from.m_method} + ' ' +
                           std::string{from.m_path},
                       request_class::normal);
    else if (m_shared.m_isolated)
        refuse_at_once(key, io::status::unavailable,
                       "this entry reaches neither store nor majority",
                       under->m_class);
    else if (!m_router.serves(under->m_service))
        refuse_at_once(key, io::status::unavailable,
                       "service " + under->m_service + " has no upstream",
                       under->m_class);
    else
        admit(key, from, *under);
}

void forwarder::refuse_at_once(exchange_id key, int status,
                               std::string_view reason, request_class of,
                               std::optional<address> elsewhere) {
    std::vector<io::header> headers{{std::string{verdict_header}, "not-run"},
                                    {"Retry-After", "1"},
                                    {"Content-Type", "text/plain"}};
    if (elsewhere)
        headers.push_back({std::string{other_entry_header}, elsewhere->text()});
    m_shared.m_metrics.finished(of, outcome::not_run, duration{0});
    m_callers.answer(key, status, headers, std::string{reason} + "\n");
}

void forwarder::admit(exchange_id key, const io::request_view& from,
                      const rule& under) {
    if (!m_router.may_serve(under.m_service, under.m_class)) {
        refuse_at_once(key, io::status::unavailable,
                       "this entry owns no slot of service " + under.m_service,
                       under.m_class,
                       m_router.other_owner(under.m_service, under.m_class));
        return;
    }
    const limits& bounds = m_shared.m_config.current().m_limits;
    auto& line = m_queues[under.m_service];
    if (line.queue(under.m_class).size() >= bounds.m_queue_length) {
        refuse_at_once(key, io::status::unavailable, "queue is full",
                       under.m_class);
        return;
    }
    const time_point now = io::event_loop::now();
    // After a pause the request may have waited in the kernel all along.
    const duration wait =
        std::min(under.m_deadline,
                 wanted_deadline(from).value_or(under.m_deadline)) -
        m_shared.m_loop.notice_pause();
    const request_id made = m_requests.emplace(request{
        key, under.m_service, under.m_name, under.m_class,
        attempt_machine{{under.m_idempotent, now + wait}}, now,
        forward_head(from), std::string{from.m_body}, from.m_method == "HEAD"});
    request& of = *m_requests.find(made);
    m_by_exchange[key] = made;
    of.m_deadline_timer = m_shared.m_loop.after(wait, [this, made] {
        if (request* found = m_requests.find(made))
            apply(made, found->m_machine.expired());
    });
    if (under.m_idempotent) {
        m_retry_budget.earn(bounds.m_retry_percent);
        m_hedge_budget.earn(m_hedge_percent[under.m_service]);
        if (under.m_class != request_class::bulk)
            of.m_hedge_timer = m_shared.m_loop.after(
                bounds.m_hedge_after, [this, made] { hedge(made); });
    }
    of.m_queued = true;
    line.push(under.m_class, made);
    pump_service(under.m_service);
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
