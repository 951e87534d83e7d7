// Log lines of the data path: each decision on a request and its inputs.
#include "core/overloaded.hpp"
#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {

std::string_view name_of(outcome how) {
    switch (how) {
    case outcome::answered:
        return "answered";
    case outcome::not_run:
        return "not-run";
    case outcome::unknown:
        return "unknown";
    case outcome::broken:
        return "broken";
    case outcome::abandoned:
        break;
    }
    return "abandoned";
}

std::string_view cause_of(const verdict& how) {
    return std::visit(
        overloaded{[](const answered&) { return std::string_view{"answered"}; },
                   [](const not_run& refusal) {
                       return skylark::name_of(refusal.m_proof);
                   },
                   [](const may_have_run& lost) {
                       return lost.m_step == attempt_step::request_sent
                                  ? std::string_view{"no-answer"}
                                  : std::string_view{"answer-not-whole"};
                   }},
        how);
}

// Formats a report as used slots, queue length, total slots and slowness in
// percent, separated by slashes.
std::string text(const load_report& report) {
    return std::to_string(report.m_used) + '/' +
           std::to_string(report.m_queue) + '/' +
           std::to_string(report.m_slots) + '/' +
           std::to_string(report.m_slowness);
}

int percent(double share) {
    constexpr double whole = 100.0;
    return static_cast<int>(share * whole);
}

} // namespace

void forwarder::log_send(const request& req, const attempt& current,
                         const upstream& target, time_point now) {
    log_line line{"send"};
    line.add("id", req.m_name)
        .add("rule", req.m_rule)
        .add("service", req.m_service.m_name)
        .add("attempt", req.m_machine.attempt_count())
        .add("upstream", target.m_instance)
        .add("zone", target.m_zone)
        .add("connection", current.m_reused ? "reused" : "new")
        .add("asked", current.m_probe_count)
        .add("unanswered", current.m_pending_probe_count)
        .add("config", text_of(m_shared.m_config.position()))
        .add("instances", text_of(m_shared.m_instances.m_index))
        .add_ms("waited_ms", now - req.m_arrived)
        .add_ms("left_ms", req.m_machine.terms().m_deadline - now)
        .add_ms("target_left_ms", req.m_target_time - now)
        .add_ms("waited_before_ms",
                req.m_arrived + req.m_target - req.m_target_time)
        .add("room",
             percent(m_services[req.m_service.m_name].m_room.share(now)));
    if (current.m_report)
        line.add("load", text(*current.m_report))
            .add_ms("load_age_ms", target.m_load.report_age(now));
    m_shared.m_journal.decided(line, now);
}

void forwarder::log_failed_attempt(const request& req, const attempt& failed,
                                   const upstream& target, const verdict& how,
                                   std::string_view detail) {
    const time_point now = io::event_loop::now();
    log_line line{"attempt-failed"};
    line.add("id", req.m_name)
        .add("upstream", target.m_instance)
        .add("cause", cause_of(how))
        .add("may_have_run",
             std::holds_alternative<may_have_run>(how) ? "yes" : "no")
        .add("idempotent", req.m_machine.terms().m_idempotent ? "yes" : "no")
        .add("attempts", req.m_machine.attempt_count())
        .add("connection", failed.m_reused ? "reused" : "new")
        .add_ms("since_arrival_ms", now - req.m_arrived);
    if (failed.m_sent)
        line.add_ms("since_send_ms", now - failed.m_sent_at);
    if (!detail.empty())
        line.add("detail", detail);
    m_shared.m_journal.decided(line, now);
}

void forwarder::log_skipped(const request& req, const attempt& current,
                            const upstream& target) {
    const time_point now = io::event_loop::now();
    log_line line{"skip"};
    line.add("id", req.m_name)
        .add("upstream", target.m_instance)
        .add("cause", "answer of another request")
        .add("connection", current.m_reused ? "reused" : "new")
        .add_ms("since_send_ms", now - current.m_sent_at)
        .add_ms("left_ms", req.m_machine.terms().m_deadline - now);
    m_shared.m_journal.decided(line, now);
}

void forwarder::add_configuration(log_line& line) const {
    line.add("config", text_of(m_shared.m_config.position()));
    const duration age = m_shared.m_config.age(io::event_loop::now());
    if (age != duration::max())
        line.add_ms("config_age_ms", age);
    line.add("instances", text_of(m_shared.m_instances.m_index));
}

void forwarder::log_refusal(const request& req, int status,
                            std::string_view reason, const refusal& why,
                            duration retry_after) {
    const time_point now = io::event_loop::now();
    log_line line{"refuse"};
    line.add("id", req.m_name)
        .add("rule", req.m_rule)
        .add("service", req.m_service.m_name)
        .add("status", status)
        .add("reason", reason)
        .add("asked", req.m_probed.size())
        .add_ms("target_left_ms", why.m_target_left)
        .add("room", percent(why.m_room_share))
        .add_ms("retry_after_ms", retry_after)
        .add_ms("since_arrival_ms", now - req.m_arrived)
        .add_ms("left_ms", req.m_machine.terms().m_deadline - now)
        .add_ms("shortened_ms", req.m_shortened);
    if (req.m_cut) {
        const upstream* at = m_shared.m_upstreams.find(req.m_cut->m_upstream);
        line.add("cut_at", at ? at->m_instance : "")
            .add_ms("since_send_ms", now - req.m_cut->m_sent_at);
    }
    add_configuration(line);
    m_shared.m_journal.decided(line, now);
}

void forwarder::log_refusal_on_arrival(std::string_view id, int status,
                                       std::string_view reason,
                                       std::optional<duration> retry_after,
                                       line_kind kind) {
    log_line line{"refuse"};
    line.add("id", id).add("status", status).add("reason", reason);
    if (retry_after)
        line.add_ms("retry_after_ms", *retry_after);
    add_configuration(line);
    m_shared.m_journal.decided(line, io::event_loop::now(), kind);
}

void forwarder::log_end(const request& req, outcome how, duration took) {
    log_line line{"end"};
    line.add("id", req.m_name)
        .add("rule", req.m_rule)
        .add("outcome", name_of(how))
        .add("attempts", req.m_machine.attempt_count())
        .add_ms("took_ms", took);
    if (req.m_status != 0) {
        line.add("status", req.m_status)
            .add("by", req.m_answerer.empty() ? "entry" : "upstream");
        if (!req.m_answerer.empty())
            line.add("upstream", req.m_answerer);
    }
    if (!req.m_abort_cause.empty())
        line.add("abort_cause", req.m_abort_cause);
    m_shared.m_journal.decided(line, io::event_loop::now());
}

void forwarder::log_rejected(int status, const io::request_view& from) {
    m_shared.m_metrics.count(counter::rejected);
    log_line line{"reject"};
    line.add("id", request_name(from))
        .add("status", status)
        .add("method", from.m_method)
        .add("path", from.m_path);
    add_configuration(line);
    m_shared.m_journal.decided(line, io::event_loop::now(),
                               line_kind::rejected);
}

void forwarder::log_discarded(io::discard_cause cause, std::size_t bytes) {
    m_shared.m_metrics.count(counter::discarded);
    log_line line{"discard"};
    line.add("cause", io::name_of(cause)).add("bytes", bytes);
    m_shared.m_journal.decided(line, io::event_loop::now(),
                               line_kind::discarded);
}

} // namespace skylark::entry
