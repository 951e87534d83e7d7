// Bounds on requests and answers, in time and in bytes.
#include <algorithm>
#include <vector>

#include "entry/forwarder.hpp"

namespace skylark::entry {

namespace {
constexpr std::string_view unread = "unread"; // cause of an end
// How often an answer that outlasts its request's deadline is checked.
constexpr auto answer_check_period = milliseconds{100};
// How often the kernel is asked what it keeps for a caller; a system call each.
constexpr auto kernel_look_period = milliseconds{200};
// Longer than a round trip and a repeat of what was lost in it.
constexpr auto least_unread_time = milliseconds{500};
// Usual answers have fewer bytes to come.
constexpr std::uint64_t unbounded_from = std::uint64_t{1} << 20U;

bool unbounded(const request& req) {
    return req.m_answering && !req.m_upstream_done &&
           (!req.m_body_left || *req.m_body_left > unbounded_from);
}

// Whether an answer that is still coming may go on.
bool may_go_on(request& req, overtime_quota& quota, std::size_t members) {
    answer_bound& bound = *req.m_answer_bound;
    const time_point now = io::event_loop::now();
    const bool in_time = bound.may_go_on(now, req.m_body_left.value_or(0));
    if (now < bound.least_end() || req.m_overtime)
        return in_time;
    quota.reached(now);
    if (!in_time)
        return false;
    req.m_overtime = true;
    if (!bound.flows())
        return quota.try_grant(members);
    quota.grant();
    return true;
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
    req.m_overtime = false;
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
    if (!may_go_on(*req, m_overtime, m_shared.m_fleet.size())) {
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
    if (why == unread)
        m_callers.reset_at_end(req->m_exchange);
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

std::size_t forwarder::unacknowledged_bytes(request& req) {
    const time_point now = io::event_loop::now();
    if (!req.m_sending) {
        req.m_unacknowledged = 0;
    } else if (now - req.m_unacknowledged_at >= kernel_look_period) {
        req.m_unacknowledged = m_callers.unacknowledged(req.m_exchange);
        req.m_unacknowledged_at = now;
    }
    return req.m_unacknowledged;
}

void forwarder::limit_unread_answers() {
    struct unread_answer {
        time_point m_since;
        std::size_t m_held;           // bytes in this process
        std::size_t m_unacknowledged; // bytes in the kernel
        request_id m_key;
    };
    answer_sums found;
    std::vector<unread_answer> waiting;
    for (auto& [key, req] : m_requests) {
        found.m_unbounded += unbounded(req) ? 1U : 0U;
        const std::size_t held =
            req.m_abort_cause.empty() ? unread_bytes(req) : 0;
        if (held == 0)
            continue;
        const std::size_t kept = unacknowledged_bytes(req);
        found.m_unread_bytes += held;
        found.m_unacknowledged_bytes += kept;
        waiting.push_back({req.m_last_progress, held, kept, key});
    }
    m_answers = found;
    std::size_t held = found.m_unread_bytes;
    std::size_t all = held + found.m_unacknowledged_bytes;
    const std::size_t limit = m_shared.m_settings.m_answer_bytes;
    if (all <= limit)
        return;
    std::sort(waiting.begin(), waiting.end(),
              [](const unread_answer& left, const unread_answer& right) {
                  return left.m_since < right.m_since;
              });
    const time_point taken_before = io::event_loop::now() - least_unread_time;
    for (const unread_answer& item : waiting) {
        // What is on its way to a caller that reads counts as well, so it takes
        // a caller that has taken nothing for a while.
        const bool stuck = item.m_since <= taken_before;
        if (held <= limit && (all <= limit || !stuck))
            return;
        break_off_answer(item.m_key, unread);
        held -= item.m_held;
        all -= item.m_held + item.m_unacknowledged;
    }
}

} // namespace skylark::entry
