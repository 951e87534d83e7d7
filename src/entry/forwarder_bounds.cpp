// Bounds on requests and answers, in time and in bytes.
#include <algorithm>
#include <tuple>
#include <vector>

#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {
// How often an answer that outlasts its request's deadline is checked.
constexpr auto answer_check_period = milliseconds{100};
// Usual answers have fewer bytes to come.
constexpr std::uint64_t unbounded_from = std::uint64_t{1} << 20U;

bool unbounded(const request& req) {
    return req.m_answering && !req.m_upstream_done &&
           (!req.m_body_left || *req.m_body_left > unbounded_from);
}
} // namespace

void forwarder::bound_request(request_id key, request& req) {
    m_shared.m_loop.cancel(req.m_deadline_timer);
    req.m_answer_bound.reset();
    req.m_deadline_timer = m_shared.m_loop.after(
        req.m_machine.terms().m_deadline - io::event_loop::now(), [this, key] {
            if (request* found = m_requests.find(key))
                apply(key, found->m_machine.expired());
        });
}

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
    // The connection does not take more yet, so what is missing is not late.
    if (req->m_sending && m_callers.awaits_turn(req->m_exchange))
        req->m_answer_bound->held_back(io::event_loop::now());
    if (!req->m_answer_bound->may_go_on(io::event_loop::now(),
                                        req->m_body_left.value_or(0))) {
        // Nothing was sent of an answer that has not begun.
        if (req->m_machine.answer_has_begun())
            break_off_answer(key, "deadline");
        else
            apply(key, req->m_machine.expired());
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
    m_shared.m_metrics.broke_off(why);
    const actions list = req->m_machine.expired();
    if (!list.empty()) {
        apply(key, list);
        return;
    }
    // The upstream has ended its part and the caller does not read the rest.
    req->m_outcome = outcome::broken;
    m_callers.abort(req->m_exchange);
}

std::size_t forwarder::unread_bytes(const request& req) const {
    if (!req.m_sending)
        return 0;
    const auto running = req.m_attempts.find(req.m_answering);
    const std::size_t input =
        running == req.m_attempts.end()
            ? 0
            : m_client.unreported(running->second.m_connection);
    return req.m_sending_bytes + req.m_buffered.size() + input;
}

void forwarder::limit_unread_answers() {
    answer_sums found;
    std::vector<std::tuple<time_point, std::size_t, request_id>> waiting;
    for (const auto& [key, req] : m_requests) {
        found.m_unbounded += unbounded(req) ? 1U : 0U;
        const std::size_t size =
            req.m_abort_cause.empty() ? unread_bytes(req) : 0;
        if (size == 0)
            continue;
        found.m_unread_bytes += size;
        waiting.emplace_back(req.m_last_progress, size, key);
    }
    m_answers = found;
    std::size_t sum = found.m_unread_bytes;
    const std::size_t limit = m_shared.m_settings.m_answer_bytes;
    if (sum <= limit)
        return;
    std::sort(waiting.begin(), waiting.end());
    for (const auto& [since, size, key] : waiting) {
        if (sum <= limit)
            return;
        break_off_answer(key, "unread");
        sum -= size;
    }
}

} // namespace skylark::entry
