// Heads of upstream responses: what they say, and whose answer they begin.
#include <utility>

#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
// A failure is repeated only while a tenth of the request's time is left. Else
// the repeat would run into the deadline, and an answer of the entry's own
// would take the place of the failure.
bool has_time_for_repeat(const request& req, time_point now) {
    constexpr int parts = 10;
    const time_point deadline = req.m_machine.terms().m_deadline;
    return (deadline - now) * parts >= deadline - req.m_arrived;
}
} // namespace

void forwarder::apply_report(upstream& from, const load_report& report,
                             time_point taken) {
    if (!from.m_load.update_report(report, taken))
        return;
    if (from.m_last_state != report.m_state) {
        from.m_last_state = report.m_state;
        m_shared.m_journal.note(event_kind::upstream, from.m_address.text(),
                                std::string{name_of(report.m_state)});
    }
}

void forwarder::handle_head(request_id key, attempt_id which,
                            const io::response_head& head) {
    request& req = *m_requests.find(key);
    const attempt current = req.m_attempts.at(which);
    upstream& target = *m_shared.m_upstreams.find(current.m_upstream);
    const time_point now = io::event_loop::now();
    const response_info signs = std::visit(
        [&](const auto& kind) { return kind.read_answer(head, req.m_name); },
        m_shared.m_dialect);
    apply_availability(signs.m_availability, target, m_shared.m_journal, now);
    // The upstream is still at work on this request. Upstreams repeat a
    // request's name, so a refusal without one is that of a health check.
    const bool foreign =
        signs.m_foreign || (signs.m_nameless && current.m_reused);
    if (foreign && m_client.skip_response(current.m_connection)) {
        m_shared.m_metrics.count(counter::answers_skipped);
        log_skipped(req, current, target);
        return;
    }
    if (signs.m_unusable) {
        end_attempt(key, which, may_have_run{attempt_step::request_sent}, false,
                    "answer of another request or without proof");
        return;
    }
    if (signs.m_report) {
        target.m_load.cross_check(*signs.m_report);
        apply_report(target, *signs.m_report, now);
    }
    target.m_other_instance |= signs.m_misdirected;
    if (signs.m_refused) {
        end_attempt(key, which, not_run{not_run_proof::upstream_refused},
                    false);
        return;
    }
    const bool failure = head.m_status >= io::status::first_server_error;
    m_shared.m_rollouts.answered(req, current, target, signs.m_report, failure);
    req.m_attempts.at(which).m_answered = true;
    req.m_attempts.at(which).m_failed = failure;
    target.m_load.record_response(now - current.m_sent_at, !failure);
    target.m_health.answered(!failure, now);
    if (!failure)
        record_service_time(req, current, now - current.m_sent_at);
    const bool only_attempt = req.m_attempts.size() == 1;
    const bool repeat =
        failure && only_attempt && req.m_machine.terms().m_idempotent &&
        req.m_machine.may_start(now) && has_time_for_repeat(req, now);
    // If only the end of the connection delimits a body, truncation cannot be
    // detected.
    const bool accepts_unframed = std::visit(
        [](const auto& kind) { return kind.accepts_close_delimited; },
        m_shared.m_dialect);
    const bool truncation_undetectable = !head.m_framed && !accepts_unframed;
    if (truncation_undetectable ||
        (repeat && retry_budget(req.m_service.m_name).can_withdraw())) {
        end_attempt(key, which, may_have_run{attempt_step::response_started},
                    false);
        return;
    }
    apply(key, req.m_machine.head_received(which));
    req.m_kept_head = {head.m_status, answer_headers(head, m_shared.m_dialect),
                       head.m_length};
    req.m_body_left =
        req.m_head_only ? std::optional<std::uint64_t>{0} : head.m_length;
    bound_answer(key, req);
}

void forwarder::start_answer(request& req, attempt_id which) {
    const attempt& current = req.m_attempts.at(which);
    const answer_head head =
        std::exchange(req.m_kept_head, std::nullopt).value();
    req.m_answering = which;
    req.m_status = head.m_status;
    req.m_answerer = m_shared.m_upstreams.find(current.m_upstream)->m_instance;
    req.m_last_progress = io::event_loop::now();
    m_shared.m_loop.cancel(req.m_hedge_timer);
    if (current.m_hedge)
        m_shared.m_metrics.count(counter::hedges_won);
    m_callers.start(req.m_exchange, head.m_status, head.m_headers,
                    head.m_length);
}

} // namespace skylark::entry
