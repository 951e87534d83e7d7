// Bounds on answers that have begun, in time and in bytes.
#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {
// How often an answer that outlasts its request's deadline is checked.
constexpr auto answer_check_period = milliseconds{100};
} // namespace

void forwarder::bound_answer(request_id key, request& req) {
    m_shared.m_loop.cancel(req.m_deadline_timer);
    const time_point now = io::event_loop::now();
    req.m_answer_bound.emplace(
        answer_terms{now, req.m_machine.terms().m_deadline, req.m_caller_leaves,
                     req.m_body_left});
    req.m_deadline_timer =
        m_shared.m_loop.after(req.m_answer_bound->least_end() - now,
                              [this, key] { check_answer(key); });
}

// An answer that has arrived whole is finite; only its caller delays its end.
void forwarder::check_answer(request_id key) {
    request* req = m_requests.find(key);
    if (!req || req->m_upstream_done)
        return;
    if (!req->m_answer_bound->may_go_on(io::event_loop::now(),
                                        req->m_body_left.value_or(0))) {
        req->m_abort_cause = "deadline";
        apply(key, req->m_machine.expired());
        return;
    }
    req->m_deadline_timer = m_shared.m_loop.after(
        answer_check_period, [this, key] { check_answer(key); });
}

} // namespace skylark::entry
