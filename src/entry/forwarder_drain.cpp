// Graceful shutdown: requests that may no longer be passed on, and what is
// still in progress.
#include <vector>

#include "entry/forwarder.hpp"
#include "entry/request_stage.hpp"

namespace skylark::entry {

void forwarder::withdraw_requests() {
    std::vector<request_id> late;
    for (const auto& [key, req] : m_requests)
        if (!m_shared.may_pass_on(req.m_machine.terms().m_deadline) ||
            !m_router.can_serve(m_router.service_of(req), req.m_class))
            late.push_back(key);
    for (const request_id key : late) {
        request* req = m_requests.find(key);
        if (!req)
            continue;
        req->m_withdrawn = true;
        apply(key, req->m_machine.withdrawn());
    }
}

stage_counts forwarder::stages() {
    stage_counts out{};
    for (const auto& [key, req] : m_requests)
        ++out[static_cast<std::size_t>(stage_of(req))];
    return out;
}

void forwarder::log_unfinished() {
    const time_point now = io::event_loop::now();
    for (const auto& [key, req] : m_requests) {
        log_line line{"cut"};
        line.add("id", req.m_name)
            .add("rule", req.m_rule)
            .add("service", req.m_service.m_name)
            .add("stage", name_of(stage_of(req)))
            .add("idempotent",
                 req.m_machine.terms().m_idempotent ? "yes" : "no")
            .add("attempts", req.m_machine.attempt_count())
            .add_ms("since_arrival_ms", now - req.m_arrived)
            .add_ms("left_ms", req.m_machine.terms().m_deadline - now);
        for (const auto& [which, item] : req.m_attempts) {
            const upstream* target = m_shared.m_upstreams.find(item.m_upstream);
            line.add("upstream", target ? target->m_instance : "");
            if (item.m_sent)
                line.add_ms("since_send_ms", now - item.m_sent_at);
        }
        m_shared.m_journal.decided(line, now, line_kind::cut);
    }
}

} // namespace skylark::entry
