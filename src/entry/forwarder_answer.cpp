// Answers: from the upstream's pieces to the caller, and how requests end.
#include <algorithm>
#include <array>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
// A begun answer without a moved byte for longer is broken off.
constexpr auto stalled_answer_limit = seconds{10};
constexpr auto caller_check_age = milliseconds{50};
} // namespace

void forwarder::apply(request_id key, const actions& list) {
    for (const action& item : list) {
        request* of = m_requests.find(key);
        if (!of)
            return;
        std::visit(
            overloaded{[&](const start_attempt&) {
                           of->m_queued = true;
                           m_queues[of->m_service].push_front(of->m_class, key);
                       },
                       [&](const cancel_attempt& what) {
                           cancel(*of, what.m_attempt);
                       },
                       [](const begin_answer&) {},
                       [&](const abort_answer&) {
                           of->m_outcome = outcome::broken;
                           m_callers.abort(of->m_exchange);
                       },
                       [&](const refuse& why) { refuse_caller(*of, why); },
                       [&](const finish_answer&) {
                           if (of->m_final_sent || of->m_sending)
                               return;
                           of->m_final_sent = true;
                           m_callers.send(of->m_exchange, "", true);
                       }},
            item);
    }
    // Nobody waits any more for what a departed caller had begun.
    const request* of = m_requests.find(key);
    if (of && of->m_machine.done() && !of->m_exchange && !of->m_finishing)
        finish(key, outcome::abandoned);
}

void forwarder::refuse_caller(request& of, const refuse& why) {
    const bool ran = !std::holds_alternative<not_run>(why.m_verdict);
    int status = io::status::unavailable;
    if (ran)
        status = why.m_expired ? io::status::gateway_timeout
                               : io::status::bad_gateway;
    of.m_outcome = ran ? outcome::unknown : outcome::not_run;
    std::string reason = why.m_expired ? "deadline passed" : "no upstream";
    if (ran && !why.m_expired)
        reason = "the upstream broke off, it may have run";
    if (const auto* proof = std::get_if<not_run>(&why.m_verdict))
        reason += " (" + std::string{name_of(proof->m_proof)} + ")";
    m_shared.m_journal.note(event_kind::request, of.m_rule,
                            std::string{verdict_text(why.m_verdict)} + ": " +
                                reason);
    log_refusal(of.m_name, of.m_rule, status, reason, come_back(of.m_service));
    const auto headers = std::visit(
        [&](const auto& kind) {
            return kind.refusal_headers(why.m_verdict, come_back(of.m_service),
                                        std::nullopt);
        },
        m_shared.m_dialect);
    m_callers.answer(of.m_exchange, status, headers, reason + "\n");
}

void forwarder::take_body(request_id key, attempt_id which,
                          std::string_view piece) {
    request& of = *m_requests.find(key);
    if (of.m_answering != which || !of.m_exchange)
        return;
    of.m_progress = io::event_loop::now();
    if (of.m_left)
        *of.m_left -= piece.size();
    if (of.m_sending) {
        of.m_pending += piece;
        m_client.pause(of.m_attempts.at(which).m_connection);
        return;
    }
    of.m_sending = true;
    of.m_final_sent = of.m_left == 0U;
    m_callers.send(of.m_exchange, piece, of.m_final_sent);
}

void forwarder::complete(request_id key, attempt_id which, bool reusable) {
    request& of = *m_requests.find(key);
    of.m_upstream_done = true;
    end_attempt(key, which, answered{}, reusable);
}

void forwarder::ready(exchange_id key) {
    const auto known = m_by_exchange.find(key);
    if (known == m_by_exchange.end())
        return;
    request& of = *m_requests.find(known->second);
    of.m_progress = io::event_loop::now();
    of.m_sending = false;
    if (of.m_final_sent)
        return;
    const bool all_here = of.m_left == 0U || of.m_upstream_done;
    if (!of.m_pending.empty() || all_here) {
        const std::string piece = std::exchange(of.m_pending, {});
        of.m_sending = true;
        of.m_final_sent = all_here;
        m_callers.send(key, piece, all_here);
        return;
    }
    const auto running = of.m_attempts.find(of.m_answering);
    if (running != of.m_attempts.end())
        m_client.resume(running->second.m_connection);
}

// A non-idempotent request that an upstream has whole may be running. The body
// goes with the exchange, so what an upstream has in part is cut.
bool forwarder::may_cancel(const request& of) {
    if (of.m_machine.terms().m_idempotent || of.m_machine.answer_has_begun())
        return true;
    return std::none_of(
        of.m_attempts.begin(), of.m_attempts.end(), [this](const auto& item) {
            const attempt& made = item.second;
            return made.m_sent && !m_client.writing(made.m_connection);
        });
}

void forwarder::closed(exchange_id key, bool complete) {
    const auto known = m_by_exchange.find(key);
    if (known == m_by_exchange.end())
        return;
    const request_id which = known->second;
    m_by_exchange.erase(known);
    request& of = *m_requests.find(which);
    of.m_exchange = {};
    if (complete || of.m_outcome != outcome::answered) {
        finish(which, of.m_outcome);
        return;
    }
    if (may_cancel(of)) {
        apply(which, of.m_machine.abandoned());
        return;
    }
    // A booking that may be running is not cut off; its answer is dropped. No
    // upstream gets it after this one.
    of.m_machine.stop_attempts();
    if (of.m_machine.done())
        finish(which, outcome::abandoned);
}

void forwarder::finish(request_id key, outcome how) {
    request& of = *m_requests.find(key);
    of.m_finishing = true;
    apply(key, of.m_machine.abandoned());
    m_shared.m_loop.cancel(of.m_deadline_timer);
    m_shared.m_loop.cancel(of.m_hedge_timer);
    m_shared.m_loop.cancel(of.m_ask_timer);
    if (of.m_queued)
        m_queues[of.m_service].remove(of.m_class, key);
    while (!of.m_attempts.empty())
        cancel(of, of.m_attempts.begin()->first);
    const time_point end =
        of.m_answering ? of.m_progress : io::event_loop::now();
    m_shared.m_metrics.finished(of.m_class, how, end - of.m_arrived);
    log_end(of, how, end - of.m_arrived);
    const std::string service = of.m_service;
    m_requests.erase(key);
    pump_service(service);
}

// Full below 80 % of the slots in use, none from 95 % up.
double forwarder::hedge_percent(double utilization) const {
    constexpr double none_from = 0.95;
    constexpr double full_below = 0.80;
    const double part = std::clamp(
        (none_from - utilization) / (none_from - full_below), 0.0, 1.0);
    return part * m_shared.m_config.current().m_limits.m_hedge_percent;
}

// Looks for callers that left and for answers that no longer move.
void forwarder::sweep() {
    const time_point now = io::event_loop::now();
    for (const auto& [name, line] : m_queues)
        m_hedge_percent[name] = hedge_percent(m_router.utilization(name, now));
    std::vector<request_id> left;
    std::vector<request_id> stalled;
    for (auto& [key, of] : m_requests) {
        if (!of.m_exchange)
            continue;
        if (of.m_answering && now - of.m_progress > stalled_answer_limit)
            stalled.push_back(key);
        if (!of.m_answering && now - of.m_arrived > caller_check_age &&
            may_cancel(of) && m_callers.caller_disconnected(of.m_exchange))
            left.push_back(key);
    }
    for (const request_id key : stalled)
        if (request* of = m_requests.find(key))
            apply(key, of->m_machine.expired());
    for (const request_id key : left) {
        request* of = m_requests.find(key);
        if (!of)
            continue;
        of->m_outcome = outcome::abandoned;
        apply(key, of->m_machine.abandoned());
        if (of = m_requests.find(key); of)
            m_callers.answer(of->m_exchange, io::status::unavailable, {}, "");
    }
    pump();
}

void forwarder::paused() {
    const time_point now = io::event_loop::now();
    std::vector<request_id> expired;
    for (auto& [key, of] : m_requests)
        if (!of.m_answering && now >= of.m_machine.terms().m_deadline)
            expired.push_back(key);
    for (const request_id key : expired)
        if (request* of = m_requests.find(key))
            apply(key, of->m_machine.expired());
}

void forwarder::removed(const std::vector<upstream>& gone) {
    for (const upstream& item : gone)
        for (const idle_connection& idle : item.m_idle)
            m_client.close(idle.m_connection);
}

} // namespace skylark::entry
