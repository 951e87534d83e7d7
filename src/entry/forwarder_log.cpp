// Log lines of the data path: each decision on a request with its grounds.
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
        overloaded{
            [](const answered&) { return std::string_view{"answered"}; },
            [](const not_run& of) { return skylark::name_of(of.m_proof); },
            [](const may_have_run& of) {
                return of.m_step == attempt_step::request_sent
                           ? std::string_view{"no-answer"}
                           : std::string_view{"answer-not-whole"};
            }},
        how);
}

// Slots in use, waiting, in all, and the slowness in percent.
std::string text(const load_report& of) {
    return std::to_string(of.m_used) + '/' + std::to_string(of.m_queue) + '/' +
           std::to_string(of.m_slots) + '/' + std::to_string(of.m_slowness);
}

} // namespace

void forwarder::log_send(const request& of, const attempt& made,
                         const upstream& target, time_point now) {
    log_line line{"send"};
    line.add("id", of.m_name)
        .add("rule", of.m_rule)
        .add("service", of.m_service)
        .add("attempt", of.m_machine.attempt_count())
        .add("upstream", target.m_instance)
        .add("zone", target.m_zone)
        .add("connection", made.m_reused ? "reused" : "new")
        .add("asked", made.m_questions)
        .add("unanswered", made.m_unanswered)
        .add("config", m_shared.m_config.revision())
        .add("instances", m_shared.m_instances.m_index)
        .add_ms("waited_ms", now - of.m_arrived)
        .add_ms("left_ms", of.m_machine.terms().m_deadline - now);
    if (made.m_report)
        line.add("load", text(*made.m_report))
            .add_ms("load_age_ms", target.m_load.report_age(now));
    m_shared.m_journal.decided(line, now);
}

void forwarder::log_failed_attempt(const request& of, const upstream& target,
                                   const verdict& how, time_point now) {
    log_line line{"attempt-failed"};
    line.add("id", of.m_name)
        .add("upstream", target.m_instance)
        .add("cause", cause_of(how))
        .add("may_have_run",
             std::holds_alternative<may_have_run>(how) ? "yes" : "no")
        .add("idempotent", of.m_machine.terms().m_idempotent ? "yes" : "no")
        .add("attempts", of.m_machine.attempt_count())
        .add_ms("since_arrival_ms", now - of.m_arrived);
    m_shared.m_journal.decided(line, now);
}

void forwarder::log_refusal(std::string_view id, std::string_view rule,
                            int status, std::string_view reason,
                            duration come_back) {
    log_line line{"refuse"};
    line.add("id", id)
        .add("rule", rule)
        .add("status", status)
        .add("reason", reason)
        .add_ms("come_back_ms", come_back)
        .add("config", m_shared.m_config.revision())
        .add("instances", m_shared.m_instances.m_index);
    m_shared.m_journal.decided(line, io::event_loop::now());
}

void forwarder::log_end(const request& of, outcome how, duration took) {
    log_line line{"end"};
    line.add("id", of.m_name)
        .add("rule", of.m_rule)
        .add("outcome", name_of(how))
        .add("attempts", of.m_machine.attempt_count())
        .add_ms("took_ms", took);
    m_shared.m_journal.decided(line, io::event_loop::now());
}

} // namespace skylark::entry
