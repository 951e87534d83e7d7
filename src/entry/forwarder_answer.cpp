// Answers: relays upstream responses to callers and ends requests.
#include <algorithm>
#include <array>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "entry/stop_signal.hpp"

namespace skylark::entry {

namespace {
// An answer is aborted if no byte of it was transferred for longer than this.
// Until the request's deadline, the upstream may be silent for longer.
constexpr auto stalled_answer_limit = seconds{10};
// Age from which the sweep checks whether the caller has disconnected.
constexpr auto caller_check_age = milliseconds{50};
} // namespace

void forwarder::apply(request_id key, const actions& list) {
    for (const action& item : list) {
        request* req = m_requests.find(key);
        if (!req)
            return;
        std::visit(
            overloaded{[&](const start_attempt&) {
                           req->m_queued = true;
                           m_queues[req->m_service.m_name].push_front(
                               req->m_class, key);
                       },
                       [&](const cancel_attempt& what) {
                           cancel(*req, what.m_attempt);
                       },
                       [&](const begin_answer& what) {
                           start_answer(*req, what.m_attempt);
                       },
                       [&](const abort_answer&) {
                           req->m_outcome = outcome::broken;
                           m_callers.abort(req->m_exchange);
                       },
                       [&](const refuse& why) { refuse_caller(*req, why); },
                       [&](const finish_answer&) {
                           if (req->m_final_sent || req->m_sending)
                               return;
                           req->m_final_sent = true;
                           m_callers.send(req->m_exchange, "", true);
                       }},
            item);
    }
    // A request whose caller has disconnected has no exchange that ends it.
    const request* req = m_requests.find(key);
    if (req && req->m_machine.done() && !req->m_exchange && !req->m_finishing)
        finish(key, outcome::abandoned);
}

void forwarder::handle_body(request_id key, attempt_id which,
                            std::string_view piece) {
    request& req = *m_requests.find(key);
    if (!req.m_exchange)
        return;
    apply(key, req.m_machine.answer_begun(which));
    const time_point now = io::event_loop::now();
    req.m_last_progress = now;
    if (req.m_answer_bound)
        req.m_answer_bound->flow().arrived(now, piece.size());
    if (req.m_body_left)
        *req.m_body_left -= piece.size();
    if (req.m_sending) {
        req.m_buffered += piece;
        if (req.m_answer_bound)
            req.m_answer_bound->flow().stopped(now);
        m_client.pause(req.m_attempts.at(which).m_connection);
        return;
    }
    send_piece(req, piece, req.m_body_left == 0U);
}

void forwarder::send_piece(request& req, std::string_view piece, bool last) {
    req.m_sending = true;
    req.m_sending_bytes = piece.size();
    req.m_final_sent = last;
    m_callers.send(req.m_exchange, piece, last);
}

void forwarder::handle_complete(request_id key, attempt_id which,
                                bool reusable) {
    request& req = *m_requests.find(key);
    apply(key, req.m_machine.answer_begun(which));
    req.m_upstream_done = true;
    end_attempt(key, which, answered{}, reusable);
}

void forwarder::caller_writable(exchange_id key) {
    const auto known = m_by_exchange.find(key);
    if (known == m_by_exchange.end())
        return;
    request& req = *m_requests.find(known->second);
    req.m_last_progress = io::event_loop::now();
    req.m_sending = false;
    if (req.m_final_sent)
        return;
    const bool body_complete = req.m_body_left == 0U || req.m_upstream_done;
    if (!req.m_buffered.empty() || body_complete) {
        const std::string piece = std::exchange(req.m_buffered, {});
        send_piece(req, piece, body_complete);
        return;
    }
    const auto running = req.m_attempts.find(req.m_answering);
    if (running == req.m_attempts.end())
        return;
    if (req.m_answer_bound)
        req.m_answer_bound->flow().resumed(req.m_last_progress);
    m_client.resume(running->second.m_connection);
}

// Whether the attempts of a request may be cancelled after its caller has
// disconnected. A non-idempotent request that was sent completely may be
// running. One that was sent in part is cancelled, as the rest of its body is
// released with the exchange.
bool forwarder::may_cancel(const request& req) {
    if (req.m_machine.terms().m_idempotent || req.m_machine.answer_has_begun())
        return true;
    return std::none_of(
        req.m_attempts.begin(), req.m_attempts.end(), [this](const auto& item) {
            const attempt& current = item.second;
            return current.m_sent && !m_client.writing(current.m_connection);
        });
}

// A caller that has ended its input may have left or may still read, which
// only a failed connection tells apart. Around a planned stop, that is in a
// shutdown and just after a start, an upstream that is at work delivers its
// answer.
bool forwarder::caller_has_left(const request& req) {
    const bool at_work =
        std::any_of(req.m_attempts.begin(), req.m_attempts.end(),
                    [](const auto& item) { return item.second.m_sent; });
    // The drain begins when the loop has seen the signal.
    const bool around_stop =
        m_shared.m_drain || stop_signalled_us != 0 ||
        io::event_loop::now() - m_started < m_shared.m_settings.m_settling_time;
    return around_stop && at_work
               ? m_callers.caller_unreachable(req.m_exchange)
               : m_callers.caller_disconnected(req.m_exchange);
}

void forwarder::exchange_closed(exchange_id key, bool complete) {
    const auto known = m_by_exchange.find(key);
    if (known == m_by_exchange.end())
        return;
    const request_id which = known->second;
    m_by_exchange.erase(known);
    request& req = *m_requests.find(which);
    req.m_exchange = {};
    if (complete || req.m_outcome != outcome::answered) {
        finish(which, req.m_outcome);
        return;
    }
    if (may_cancel(req)) {
        apply(which, req.m_machine.abandoned());
        return;
    }
    // A non-idempotent request that may be running is not cancelled; its
    // answer is discarded. It is not sent to another upstream.
    req.m_machine.stop_attempts();
    if (req.m_machine.done())
        finish(which, outcome::abandoned);
}

void forwarder::finish(request_id key, outcome how) {
    request& req = *m_requests.find(key);
    req.m_finishing = true;
    apply(key, req.m_machine.abandoned());
    m_shared.m_loop.cancel(req.m_deadline_timer);
    m_shared.m_loop.cancel(req.m_hedge_timer);
    m_shared.m_loop.cancel(req.m_probe_timer);
    if (req.m_queued)
        m_queues[req.m_service.m_name].remove(req.m_class, key);
    while (!req.m_attempts.empty())
        cancel(req, req.m_attempts.begin()->first);
    const time_point end =
        req.m_answering ? req.m_last_progress : io::event_loop::now();
    m_shared.m_metrics.finished(req.m_class, how, end - req.m_arrived);
    log_end(req, how, end - req.m_arrived);
    const std::string service = req.m_service.m_name;
    const std::string team = req.m_team;
    const token_state token = req.m_token;
    m_requests.erase(key);
    release_token(team, key, token);
    dispatch_service(service);
}

// Hedge budget in percent of the requests: the configured value up to 80 % slot
// utilization, falling linearly to zero at 95 %.
double forwarder::hedge_percent(double utilization) const {
    constexpr double zero_at = 0.95;
    constexpr double full_below = 0.80;
    const double part =
        std::clamp((zero_at - utilization) / (zero_at - full_below), 0.0, 1.0);
    return part * m_shared.m_config.current().m_limits.m_hedge_percent;
}

// Periodic check for disconnected callers and stalled answers.
void forwarder::sweep() {
    const time_point now = io::event_loop::now();
    for (const auto& [name, queues] : m_queues)
        m_hedge_percent[name] = hedge_percent(m_router.utilization(name, now));
    std::vector<request_id> disconnected;
    std::vector<request_id> stalled;
    for (auto& [key, req] : m_requests) {
        if (!req.m_exchange)
            continue;
        const bool may_stall =
            req.m_sending || now >= req.m_machine.terms().m_deadline;
        if (req.m_answering && may_stall &&
            now - req.m_last_progress > stalled_answer_limit &&
            !m_callers.awaits_turn(req.m_exchange))
            stalled.push_back(key);
        if (!req.m_answering && now - req.m_arrived > caller_check_age &&
            may_cancel(req) && caller_has_left(req))
            disconnected.push_back(key);
    }
    limit_unread_answers();
    for (const request_id key : stalled)
        break_off_answer(key, "stalled");
    for (const request_id key : disconnected)
        refuse_departed(key);
    dispatch_queued();
}

void forwarder::process_paused(duration gap) {
    const time_point now = io::event_loop::now();
    std::vector<request_id> expired;
    for (auto& [key, req] : m_requests)
        if (req.m_answer_bound)
            req.m_answer_bound->process_paused(gap, now);
        else if (now >= req.m_machine.terms().m_deadline)
            expired.push_back(key);
    for (const request_id key : expired)
        if (request* req = m_requests.find(key))
            apply(key, req->m_machine.expired());
}

void forwarder::upstreams_removed(const std::vector<upstream>& gone) {
    for (const upstream& item : gone)
        for (const idle_connection& idle : item.m_idle)
            m_client.close(idle.m_connection);
}

} // namespace skylark::entry
