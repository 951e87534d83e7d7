// Attempts: connections, writes, events of upstreams, hedges.
#include <algorithm>

#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"
#include "entry/request_head.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
// An upstream has ended cancelled work this long after its connection ended.
constexpr auto upstream_cancel_time = milliseconds{200};
// A reused connection that was silent for longer makes its siblings suspect.
constexpr auto silent_connection_limit = milliseconds{300};
// A report of this age described the upstream when the request was sent.
constexpr auto recent_report = milliseconds{20};
} // namespace

void forwarder::start(request_id key, request& of, const route_choice& choice,
                      bool is_hedge) {
    upstream& target = *m_shared.m_upstreams.find(choice.m_upstream);
    const attempt_id which{++m_last_attempt};
    if (of.m_machine.attempt_count() > 0)
        m_shared.m_metrics.count(is_hedge ? counter::hedges : counter::retries);
    of.m_machine.attempt_started(which);
    of.m_tried.push_back(choice.m_upstream);
    attempt& made = of.m_attempts[which];
    made.m_upstream = choice.m_upstream;
    made.m_share = choice.m_share;
    made.m_hedge = is_hedge;
    const time_point now = io::event_loop::now();
    if (target.m_load.report_age(now) <= recent_report)
        made.m_report = target.m_load.last_report();
    made.m_questions = static_cast<std::uint32_t>(of.m_asked.size());
    made.m_unanswered = static_cast<std::uint32_t>(of.m_unanswered.size());
    if (made.m_share)
        ++target.share_use(*made.m_share);
    target.m_load.request_sent();
    const auto handler = [this, key, which](connection_id,
                                            const io::client_event& what) {
        handle(key, which, what);
    };
    const bool fresh_only = !of.m_machine.terms().m_idempotent;
    if (const auto kept = m_pool.take(target, fresh_only)) {
        made.m_connection = *kept;
        made.m_reused = true;
        m_client.rebind(*kept, handler);
        write(key, which);
        return;
    }
    ++target.m_connections;
    m_shared.m_metrics.count(counter::connects);
    made.m_connection = m_client.open(target.m_address, handler);
}

void forwarder::write(request_id key, attempt_id which) {
    request& of = *m_requests.find(key);
    attempt& made = of.m_attempts.at(which);
    duration left = of.m_machine.terms().m_deadline - io::event_loop::now();
    // Work in a cold slot must end before the slot can pass to another entry.
    const member_timing& timing = m_shared.m_settings.m_timing;
    if (made.m_share == share_kind::cold)
        left = std::min(left, timing.m_hold_down - timing.m_self_stop);
    const upstream& target = *m_shared.m_upstreams.find(made.m_upstream);
    std::string head =
        complete_head(of.m_head, left, target.m_instance, m_shared.m_dialect);
    // The clock is read again: nothing may come between check and write.
    const time_point now = io::event_loop::now();
    if (!of.m_machine.try_begin_send(which, now)) {
        end_attempt(key, which, not_run{not_run_proof::no_byte_sent}, false);
        return;
    }
    made.m_sent = true;
    made.m_sent_at = now;
    log_send(of, made, target, now);
    m_client.send(made.m_connection, std::move(head),
                  m_callers.body(of.m_exchange), of.m_head_only);
}

void forwarder::handle(request_id key, attempt_id which,
                       const io::client_event& what) {
    request* of = m_requests.find(key);
    if (!of || !of->m_attempts.contains(which))
        return;
    std::visit(
        overloaded{[&](const io::connected&) { write(key, which); },
                   [&](const io::head_received& event) {
                       take_head(key, which, event.m_head);
                   },
                   [&](const io::body_received& event) {
                       take_body(key, which, event.m_piece);
                   },
                   [&](const io::response_complete& event) {
                       complete(key, which, event.m_reusable);
                   },
                   [&](const io::connection_failed& event) {
                       const attempt& made = of->m_attempts.at(which);
                       verdict how = not_run{not_run_proof::connect_failed};
                       if (event.m_head_seen)
                           how = may_have_run{attempt_step::response_started};
                       else if (made.m_sent)
                           how = may_have_run{attempt_step::request_sent};
                       else
                           m_shared.m_metrics.count(counter::connect_failures);
                       end_attempt(key, which, how, false);
                   }},
        what);
}

void forwarder::take_report(upstream& from, const load_report& report,
                            time_point taken) {
    if (!from.m_load.update_report(report, taken))
        return;
    if (from.m_last_state != report.m_state) {
        from.m_last_state = report.m_state;
        m_shared.m_journal.note(event_kind::upstream, from.m_address.text(),
                                std::string{name_of(report.m_state)});
    }
}

void forwarder::take_head(request_id key, attempt_id which,
                          const io::response_head& head) {
    request& of = *m_requests.find(key);
    const attempt made = of.m_attempts.at(which);
    upstream& target = *m_shared.m_upstreams.find(made.m_upstream);
    const time_point now = io::event_loop::now();
    const response_info signs = std::visit(
        [&](const auto& kind) { return kind.read_answer(head, of.m_name); },
        m_shared.m_dialect);
    if (signs.m_unusable) {
        end_attempt(key, which, may_have_run{attempt_step::request_sent},
                    false);
        return;
    }
    if (signs.m_report) {
        target.m_load.cross_check(*signs.m_report);
        take_report(target, *signs.m_report, now);
    }
    target.m_unhealthy |= signs.m_misdirected;
    if (signs.m_refused) {
        end_attempt(key, which, not_run{not_run_proof::upstream_refused},
                    false);
        return;
    }
    const bool failure = head.m_status >= io::status::first_failure;
    target.m_load.record_response(now - made.m_sent_at, !failure);
    if (!failure)
        learn_work(of, made, now - made.m_sent_at);
    const bool only_attempt = of.m_attempts.size() == 1;
    const bool repeat = failure && only_attempt &&
                        of.m_machine.terms().m_idempotent &&
                        of.m_machine.may_start(now);
    // A body without a framed end could be cut without a trace.
    const bool trusts_close = std::visit(
        [](const auto& kind) { return kind.trusts_close; }, m_shared.m_dialect);
    const bool unchecked = !head.m_framed && !trusts_close;
    if (unchecked || (repeat && retry_budget(of.m_service).try_withdraw())) {
        end_attempt(key, which, may_have_run{attempt_step::response_started},
                    false);
        return;
    }
    const actions list = of.m_machine.answer_begun(which);
    apply(key, list);
    if (list.empty())
        return;
    of.m_answering = which;
    of.m_left =
        of.m_head_only ? std::optional<std::uint64_t>{0} : head.m_length;
    of.m_progress = now;
    m_shared.m_loop.cancel(of.m_deadline_timer);
    m_shared.m_loop.cancel(of.m_hedge_timer);
    if (made.m_hedge)
        m_shared.m_metrics.count(counter::hedges_won);
    m_callers.start(of.m_exchange, head.m_status,
                    answer_headers(head, m_shared.m_dialect), head.m_length);
}

bool forwarder::may_retry(const request& of, const verdict& how) {
    return std::holds_alternative<may_have_run>(how) &&
           retry_budget(of.m_service).try_withdraw();
}

void forwarder::end_attempt(request_id key, attempt_id which,
                            const verdict& how, bool reusable) {
    request* of = m_requests.find(key);
    const attempt ended = of->m_attempts.extract(which).mapped();
    upstream& target = *m_shared.m_upstreams.find(ended.m_upstream);
    if (reusable) {
        m_pool.keep(target, ended.m_connection);
    } else {
        m_client.close(ended.m_connection);
        --target.m_connections;
    }
    const bool lost = std::holds_alternative<may_have_run>(how);
    const auto* refused = std::get_if<not_run>(&how);
    if (lost || refused)
        log_failed_attempt(*of, target, how, io::event_loop::now());
    if (lost ||
        (refused && refused->m_proof == not_run_proof::connect_failed)) {
        target.m_load.record_failure();
        target.m_load.discard_report();
    }
    release(ended, lost && ended.m_sent);
    const bool retry = of->m_machine.terms().m_idempotent &&
                       !of->m_machine.answer_has_begun() &&
                       of->m_attempts.empty() && may_retry(*of, how);
    // An upstream that refused has had the request: the next one is a repeat.
    const bool counts = m_shared.m_config.current().m_limits.m_refusals_count;
    if (counts && refused &&
        refused->m_proof == not_run_proof::upstream_refused &&
        !retry_budget(of->m_service).try_withdraw())
        of->m_machine.stop_attempts();
    const std::string service = of->m_service;
    apply(key, of->m_machine.attempt_ended(which, how, io::event_loop::now(),
                                           retry));
    pump_service(service);
}

void forwarder::release(const attempt& of, bool work_may_go_on) {
    upstream* target = m_shared.m_upstreams.find(of.m_upstream);
    if (!target)
        return;
    target->m_load.request_finished();
    if (!of.m_share)
        return;
    const upstream_id key = of.m_upstream;
    const share_kind kind = *of.m_share;
    if (!work_may_go_on) {
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

void forwarder::cancel(request& of, attempt_id which) {
    const attempt ended = of.m_attempts.extract(which).mapped();
    m_client.close(ended.m_connection);
    upstream& target = *m_shared.m_upstreams.find(ended.m_upstream);
    --target.m_connections;
    const duration silent = io::event_loop::now() - ended.m_sent_at;
    if (ended.m_reused && ended.m_sent && silent > silent_connection_limit)
        m_pool.suspect(target, ended.m_sent_at);
    m_shared.m_metrics.count(counter::cancels);
    release(ended, ended.m_sent);
}

// Late second attempt; its budget falls as the service fills up.
void forwarder::hedge(request_id key) {
    request* of = m_requests.find(key);
    const time_point now = io::event_loop::now();
    if (!of || !of->m_machine.may_hedge(now))
        return;
    const auto choice = m_router.choose(*of, now);
    if (!choice || choice->m_share || !m_hedge_budget.try_withdraw())
        return;
    start(key, *of, *choice, true);
}

bool forwarder::settled() {
    const document& config = m_shared.m_config.current();
    for (auto& [key, item] : m_shared.m_upstreams.all()) {
        const service* of = config.find_service(item.m_service);
        for (const auto kind : {share_kind::cold, share_kind::bulk}) {
            const std::uint32_t used = item.share_use(kind);
            if (used == 0)
                continue;
            const std::uint32_t slots = of ? router::limit_of(*of, kind) : 0;
            if (used > m_shared.m_fleet.usable(key, kind, slots))
                return false;
        }
    }
    return true;
}

} // namespace skylark::entry
