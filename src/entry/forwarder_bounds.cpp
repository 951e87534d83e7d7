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
        break_off_answer(key, "deadline");
        return;
    }
    req->m_deadline_timer = m_shared.m_loop.after(
        answer_check_period, [this, key] { check_answer(key); });
}

void forwarder::break_off_answer(request_id key, std::string_view why) {
    request* req = m_requests.find(key);
    if (!req || !req->m_abort_cause.empty())
        return;
    req->m_abort_cause = why;
    const actions list = req->m_machine.expired();
    if (!list.empty()) {
        apply(key, list);
        return;
    }
    // The upstream has ended its part and the caller does not read the rest.
    req->m_outcome = outcome::broken;
    m_callers.abort(req->m_exchange);
}

} // namespace skylark::entry
