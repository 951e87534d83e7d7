// Attempt machine: state machine of one request, from admission to its verdict.
#include <skylark/attempt/machine.hpp>

#include <algorithm>

namespace skylark {

namespace internal {

static bool contains(const std::vector<attempt_id>& list, attempt_id item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace internal

bool attempt_machine::sent(attempt_id attempt) const {
    return internal::contains(m_sent, attempt);
}

bool attempt_machine::may_start(time_point now) const {
    if (m_done || m_selected || now >= m_terms.m_deadline)
        return false;
    if (m_count >= m_terms.m_max_attempts)
        return false;
    if (m_terms.m_idempotent)
        return true;
    return m_running.empty() && !m_may_have_run;
}

void attempt_machine::attempt_started(attempt_id attempt) {
    m_running.push_back(attempt);
    ++m_count;
}

bool attempt_machine::try_begin_send(attempt_id attempt, time_point now) {
    if (m_done || m_selected || now >= m_terms.m_deadline)
        return false;
    if (!internal::contains(m_running, attempt))
        return false;
    m_sent.push_back(attempt);
    return true;
}

actions attempt_machine::cancel_running(attempt_id except) {
    actions out;
    for (const attempt_id running : m_running) {
        if (running == except)
            continue;
        if (sent(running))
            m_may_have_run = true;
        out.emplace_back(cancel_attempt{running});
    }
    std::erase_if(m_running,
                  [&](attempt_id running) { return running != except; });
    return out;
}

actions attempt_machine::head_received(attempt_id attempt) {
    if (m_done || m_selected || !internal::contains(m_running, attempt))
        return {};
    m_selected = attempt;
    return cancel_running(attempt);
}

actions attempt_machine::answer_begun(attempt_id attempt) {
    if (m_done || m_answering || !internal::contains(m_running, attempt))
        return {};
    actions out = head_received(attempt);
    m_answering = attempt;
    out.emplace_back(begin_answer{attempt});
    return out;
}

actions attempt_machine::attempt_ended(attempt_id attempt,
                                       const verdict& result, time_point now,
                                       bool retry_allowed) {
    if (m_done || std::erase(m_running, attempt) == 0)
        return {};
    if (attempt == m_answering) {
        m_done = true;
        if (std::holds_alternative<answered>(result))
            return {finish_answer{}};
        return {abort_answer{}};
    }
    if (attempt == m_selected)
        m_selected = {};
    bool repeat = true;
    if (const auto* refused = std::get_if<not_run>(&result)) {
        m_last_proof = refused->m_proof;
    } else {
        m_may_have_run = true;
        repeat = m_terms.m_idempotent && retry_allowed;
    }
    if (!m_running.empty())
        return {}; // a running attempt may still answer
    if (repeat && may_start(now))
        return {start_attempt{}};
    return give_up(now >= m_terms.m_deadline);
}

actions attempt_machine::expired() {
    if (m_done)
        return {};
    if (!m_answering)
        return give_up(true);
    actions out = cancel_running({});
    m_done = true;
    out.emplace_back(abort_answer{});
    return out;
}

actions attempt_machine::rejected() {
    if (m_done || m_answering || !m_running.empty())
        return {};
    return give_up(false);
}

actions attempt_machine::withdrawn() {
    if (m_done || m_answering)
        return {};
    stop_attempts();
    if (std::none_of(m_running.begin(), m_running.end(),
                     [this](attempt_id running) { return sent(running); }))
        return give_up(false);
    actions out;
    for (const attempt_id running : m_running)
        if (!sent(running))
            out.emplace_back(cancel_attempt{running});
    std::erase_if(m_running,
                  [this](attempt_id running) { return !sent(running); });
    return out;
}

actions attempt_machine::abandoned() {
    if (m_done)
        return {};
    actions out = cancel_running({});
    m_done = true;
    return out;
}

bool attempt_machine::may_hedge(time_point now) const {
    return m_terms.m_idempotent && m_running.size() == 1 && may_start(now);
}

actions attempt_machine::give_up(bool expired) {
    actions out = cancel_running({});
    m_done = true;
    out.emplace_back(refuse{overall_verdict(), expired});
    return out;
}

verdict attempt_machine::overall_verdict() const {
    if (m_may_have_run)
        return may_have_run{attempt_step::request_sent};
    return not_run{m_last_proof};
}

} // namespace skylark
