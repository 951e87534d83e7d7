// Refusals: answers of the entry itself, and when the caller should return.
#include <skylark/config/absence_claim.hpp>
#include <skylark/config/watch_schedule.hpp>

#include "entry/entry_list.hpp"
#include "entry/forwarder.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {

constexpr std::string_view leaving_reason = "this entry is shutting down";

std::string reason_of(const refuse& why) {
    const auto* proof = std::get_if<not_run>(&why.m_verdict);
    if (!proof && !why.m_expired)
        return "the upstream broke off, it may have run";
    std::string out = why.m_expired ? "deadline passed" : "no upstream";
    if (proof)
        out += " (" + std::string{name_of(proof->m_proof)} + ")";
    return out;
}

int status_of(const refuse& why) {
    if (std::holds_alternative<not_run>(why.m_verdict))
        return io::status::unavailable;
    return why.m_expired ? io::status::gateway_timeout
                         : io::status::bad_gateway;
}

// A failed connection tells as little about the other upstreams as a refusal.
refusal_cause cause_of(const refuse& why) {
    const auto* proof = std::get_if<not_run>(&why.m_verdict);
    const bool by_upstream =
        proof && (proof->m_proof == not_run_proof::upstream_refused ||
                  proof->m_proof == not_run_proof::connect_failed);
    return by_upstream ? refusal_cause::upstream_refused
                       : refusal_cause::no_room;
}

} // namespace

duration forwarder::retry_after_without(const std::string& service) {
    refusal why;
    why.m_until_usable =
        m_router.time_until_usable(service, io::event_loop::now());
    return retry_after(why, m_router.random());
}

duration forwarder::retry_after_starting() const {
    return retry_after_start(
        io::event_loop::now() - m_started,
        watch_schedule::start_delay(m_shared.m_settings.m_bootstrap));
}

refusal forwarder::refusal_of(const request& req, const refuse& why) {
    const time_point now = io::event_loop::now();
    refusal out;
    out.m_cause = cause_of(why);
    out.m_target_left = req.m_target_time - now;
    out.m_service_time = m_service_times[req.m_rule].service_time();
    out.m_room_share = m_services[req.m_service.m_name].m_room.share(now);
    out.m_until_usable = m_router.time_until_usable(req.m_service.m_name, now);
    if (!m_router.has_eligible_upstream(req.m_service.m_name))
        out.m_cause = refusal_cause::no_upstream;
    return out;
}

void forwarder::refuse_on_arrival(exchange_id key, const io::request_view& from,
                                  int status, std::string_view reason,
                                  request_class wanted,
                                  std::optional<duration> retry_after,
                                  std::optional<address> other_entry,
                                  line_kind kind) {
    auto headers = std::visit(
        [&](const auto& kind) {
            return kind.refusal_headers(not_run{not_run_proof::not_admitted},
                                        retry_after, other_entry);
        },
        m_shared.m_dialect);
    if (status == io::status::unauthorized)
        headers.push_back(key_challenge());
    m_shared.m_metrics.finished(wanted, outcome::not_run, duration{0});
    log_refusal_on_arrival(request_name(from), status, reason, retry_after,
                           kind);
    m_callers.answer(key, status, headers, std::string{reason} + "\n");
}

bool forwarder::may_deny() const {
    const settings& own = m_shared.m_settings;
    absence_grounds known;
    known.m_age = m_shared.m_config.age(io::event_loop::now());
    if (own.m_deployment == deployment::platform)
        known.m_apply_limit = own.m_apply_limit;
    known.m_newer_announced = m_shared.m_newer_announced;
    known.m_isolated = m_shared.m_isolated;
    return may_claim_absence(known);
}

void forwarder::refuse_unmatched(exchange_id key,
                                 const io::request_view& from) {
    const std::string what =
        std::string{from.m_method} + ' ' + std::string{from.m_path};
    if (may_deny())
        refuse_on_arrival(key, from, io::status::not_found,
                          "no rule matches " + what, request_class::normal,
                          std::nullopt, std::nullopt, line_kind::unmatched);
    else
        refuse_on_arrival(
            key, from, io::status::unavailable,
            "configuration not confirmed, no rule matches " + what,
            request_class::normal, retry_after(refusal{}, m_router.random()),
            std::nullopt, line_kind::unmatched);
}

void forwarder::refuse_leaving(exchange_id key, const io::request_view& from,
                               request_class wanted) {
    const auto other = other_entry(m_shared, m_router.random());
    refusal why;
    if (other)
        why.m_cause = refusal_cause::entry_leaving;
    refuse_on_arrival(key, from, io::status::unavailable, leaving_reason,
                      wanted, retry_after(why, m_router.random()), other);
}

void forwarder::refuse_caller(request& req, const refuse& why) {
    const bool ran = !std::holds_alternative<not_run>(why.m_verdict);
    const int status = status_of(why);
    const bool leaving = !ran && req.m_withdrawn;
    const std::string reason =
        leaving ? std::string{leaving_reason} : reason_of(why);
    req.m_outcome = ran ? outcome::unknown : outcome::not_run;
    req.m_status = status;
    m_services[req.m_service.m_name].m_last_refusal = io::event_loop::now();
    m_shared.m_journal.note(event_kind::request, req.m_rule,
                            std::string{verdict_text(why.m_verdict)} + ": " +
                                reason);
    refusal load = refusal_of(req, why);
    const auto other =
        leaving ? other_entry(m_shared, m_router.random()) : std::nullopt;
    if (other)
        load.m_cause = refusal_cause::entry_leaving;
    const duration delay = retry_after(load, m_router.random());
    if (req.m_cut)
        m_shared.m_metrics.count(counter::answered_instead);
    log_refusal(req, status, reason, load, delay);
    const auto headers = std::visit(
        [&](const auto& kind) {
            return kind.refusal_headers(why.m_verdict, delay, other);
        },
        m_shared.m_dialect);
    m_callers.answer(req.m_exchange, status, headers, reason + "\n");
}

void forwarder::refuse_departed(request_id key) {
    request* req = m_requests.find(key);
    if (!req)
        return;
    req->m_outcome = outcome::abandoned;
    apply(key, req->m_machine.abandoned());
    req = m_requests.find(key);
    if (!req)
        return;
    const refuse known{req->m_machine.overall_verdict(), false};
    const duration delay =
        retry_after(refusal_of(*req, known), m_router.random());
    const auto headers = std::visit(
        [&](const auto& kind) {
            return kind.refusal_headers(known.m_verdict, delay, std::nullopt);
        },
        m_shared.m_dialect);
    m_callers.answer(req->m_exchange, status_of(known), headers,
                     "the caller ended its input\n");
}

} // namespace skylark::entry
