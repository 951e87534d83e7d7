// Attempts: connections, writes, events of upstream connections, hedges.
#include <algorithm>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"

namespace skylark::entry {

namespace {
// Time within which an upstream ends cancelled work after its connection was
// closed; a share stays in use until then.
constexpr auto upstream_cancel_time = milliseconds{200};
// If a reused connection was silent for longer than this, idle connections to
// the same upstream may be dead too.
constexpr auto silent_connection_limit = milliseconds{300};
// A report of at most this age describes the upstream at the time of sending.
constexpr auto max_report_age = milliseconds{20};
} // namespace

void forwarder::begin_attempt(request_id key, request& req,
                              const route_choice& choice, bool is_hedge) {
    upstream& target = *m_shared.m_upstreams.find(choice.m_upstream);
    const attempt_id which{++m_last_attempt};
    if (req.m_machine.attempt_count() > 0)
        m_shared.m_metrics.count(is_hedge ? counter::hedges : counter::retries);
    req.m_machine.attempt_started(which);
    req.m_tried.push_back(choice.m_upstream);
    attempt& current = req.m_attempts[which];
    current.m_upstream = choice.m_upstream;
    current.m_share = choice.m_share;
    current.m_hedge = is_hedge;
    const time_point now = io::event_loop::now();
    if (target.m_load.report_age(now) <=
        max_report_age + m_shared.m_paths.allowance(target.m_zone))
        current.m_report = target.m_load.last_report();
    current.m_probe_count = static_cast<std::uint32_t>(req.m_probed.size());
    current.m_pending_probe_count = static_cast<std::uint32_t>(
        req.m_pending_probes.size() + req.m_overdue_probes.size());
    if (current.m_share)
        ++target.share_use(*current.m_share);
    target.m_load.request_sent();
    m_shared.m_rollouts.attempt_began(req, target);
    const auto handler = [this, key, which](connection_id,
                                            const io::client_event& what) {
        handle_event(key, which, what);
    };
    const bool fresh_only = !req.m_machine.terms().m_idempotent;
    if (const auto kept = m_pool.take(target, fresh_only)) {
        current.m_connection = *kept;
        current.m_reused = true;
        m_client.rebind(*kept, handler);
        write_request(key, which);
        return;
    }
    ++target.m_connections;
    m_shared.m_metrics.count(counter::connects);
    current.m_connection = m_client.open(target.m_address, handler);
}

void forwarder::write_request(request_id key, attempt_id which) {
    request& req = *m_requests.find(key);
    attempt& current = req.m_attempts.at(which);
    duration left = req.m_machine.terms().m_deadline - io::event_loop::now();
    // A request in a cold slot must end before another entry can own the slot.
    const member_timing& timing = m_shared.m_settings.m_timing;
    if (current.m_share == share_kind::cold)
        left = std::min(left, timing.m_hold_down - timing.m_self_stop);
    const upstream& target = *m_shared.m_upstreams.find(current.m_upstream);
    std::string head =
        complete_head(req.m_head, left, target.m_instance, m_shared.m_dialect);
    // Reads the clock again, as nothing may delay the write after the check.
    const time_point now = io::event_loop::now();
    // The upstream may have said that it leaves or rests while the connection
    // was opened.
    const bool wanted = target.m_availability.usable(now);
    if (!wanted || !req.m_machine.try_begin_send(which, now)) {
        end_attempt(key, which, not_run{not_run_proof::no_byte_sent}, false);
        return;
    }
    current.m_sent = true;
    current.m_sent_at = now;
    if (req.m_token == token_state::held)
        req.m_token = token_state::spent;
    if (target.m_zone != m_shared.m_settings.m_zone)
        m_shared.m_metrics.sent_to_other_zone(req.m_service.m_name);
    log_send(req, current, target, now);
    m_client.send(current.m_connection, std::move(head),
                  m_callers.body(req.m_exchange), req.m_head_only);
}

// What an upstream sends before it has a request is no response to it.
void forwarder::handle_open(request_id key, attempt_id which) {
    const attempt& current = m_requests.find(key)->m_attempts.at(which);
    if (m_client.usable(current.m_connection)) {
        write_request(key, which);
        return;
    }
    m_shared.m_metrics.count(counter::connect_failures);
    end_attempt(key, which, not_run{not_run_proof::connect_failed}, false);
}

void forwarder::handle_event(request_id key, attempt_id which,
                             const io::client_event& what) {
    request* req = m_requests.find(key);
    if (!req || !req->m_attempts.contains(which))
        return;
    std::visit(
        overloaded{[&](const io::connected&) { handle_open(key, which); },
                   [&](const io::head_received& event) {
                       handle_head(key, which, event.m_head);
                   },
                   [&](const io::body_received& event) {
                       handle_body(key, which, event.m_piece);
                   },
                   [&](const io::response_complete& event) {
                       handle_complete(key, which, event.m_reusable);
                   },
                   [&](const io::connection_failed& event) {
                       const attempt& current = req->m_attempts.at(which);
                       verdict how = not_run{not_run_proof::connect_failed};
                       if (event.m_head_received)
                           how = may_have_run{attempt_step::response_started};
                       else if (current.m_sent)
                           how = may_have_run{attempt_step::request_sent};
                       else
                           m_shared.m_metrics.count(counter::connect_failures);
                       end_attempt(key, which, how, false, event.m_cause);
                   }},
        what);
}

bool forwarder::withdraw_retry(const request& req, const verdict& how) {
    return std::holds_alternative<may_have_run>(how) &&
           retry_budget(req.m_service.m_name).try_withdraw();
}

void forwarder::end_attempt(request_id key, attempt_id which,
                            const verdict& how, bool reusable,
                            std::string_view detail) {
    request* req = m_requests.find(key);
    const attempt ended = req->m_attempts.extract(which).mapped();
    upstream& target = *m_shared.m_upstreams.find(ended.m_upstream);
    if (reusable) {
        m_pool.keep(target, ended.m_connection);
    } else {
        m_client.close(ended.m_connection);
        --target.m_connections;
    }
    const bool lost = std::holds_alternative<may_have_run>(how);
    const auto* refused = std::get_if<not_run>(&how);
    m_shared.m_rollouts.broken(*req, ended, target, how);
    if (lost || refused)
        log_failed_attempt(*req, ended, target, how, detail);
    if (lost ||
        (refused && refused->m_proof == not_run_proof::connect_failed)) {
        target.m_load.record_failure();
        target.m_health.answered(false, io::event_loop::now());
        target.m_load.discard_report();
    }
    release(ended, lost && ended.m_sent);
    // The answer has not begun, so the request has its time again.
    if (req->m_kept_head.has_value()) {
        req->m_kept_head.reset();
        req->m_body_left.reset();
        bound_request(key, *req);
    }
    const bool retry = req->m_machine.terms().m_idempotent &&
                       !req->m_machine.answer_has_begun() &&
                       req->m_attempts.empty() && withdraw_retry(*req, how);
    // An upstream that refused has received the request, so if refusals count,
    // the next attempt is charged to the retry budget.
    const bool refusals_count =
        m_shared.m_config.current().m_limits.m_refusals_count;
    if (refusals_count && refused &&
        refused->m_proof == not_run_proof::upstream_refused &&
        !retry_budget(req->m_service.m_name).try_withdraw())
        req->m_machine.stop_attempts();
    const std::string service = req->m_service.m_name;
    apply(key, req->m_machine.attempt_ended(which, how, io::event_loop::now(),
                                            retry));
    dispatch_service(service);
}

void forwarder::release(const attempt& ended, bool may_still_run) {
    upstream* target = m_shared.m_upstreams.find(ended.m_upstream);
    if (!target)
        return;
    target->m_load.request_finished();
    if (!ended.m_share)
        return;
    const upstream_id key = ended.m_upstream;
    const share_kind kind = *ended.m_share;
    if (!may_still_run) {
        release_share(key, kind);
        return;
    }
    m_shared.m_loop.after(upstream_cancel_time,
                          [this, key, kind] { release_share(key, kind); });
}

void forwarder::release_share(upstream_id key, share_kind kind) {
    if (upstream* target = m_shared.m_upstreams.find(key)) {
        std::uint32_t& used = target->share_use(kind);
        used -= used > 0 ? 1 : 0;
    }
}

void forwarder::cancel(request& req, attempt_id which) {
    const attempt ended = req.m_attempts.extract(which).mapped();
    m_client.close(ended.m_connection);
    upstream& target = *m_shared.m_upstreams.find(ended.m_upstream);
    --target.m_connections;
    m_shared.m_rollouts.cancelled(req, ended, target);
    const duration silent = io::event_loop::now() - ended.m_sent_at;
    if (ended.m_reused && ended.m_sent && silent > silent_connection_limit)
        m_pool.close_stale(target, ended.m_sent_at);
    m_shared.m_metrics.count(counter::cancels);
    if (ended.m_sent)
        req.m_cut = ended;
    release(ended, ended.m_sent);
}

// Starts a second attempt for a request that is still unanswered. The budget
// shrinks as the utilization of the service grows, see hedge_percent().
void forwarder::hedge(request_id key) {
    request* req = m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!req || !req->m_machine.may_hedge(now))
        return;
    const auto choice = m_router.choose(*req, now);
    if (!choice || choice->m_share || !m_hedge_budget.try_withdraw())
        return;
    begin_attempt(key, *req, *choice, true);
}

} // namespace skylark::entry
