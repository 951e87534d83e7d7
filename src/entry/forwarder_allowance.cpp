// Rate limits: an admitted request joins its queue once it has a token.
#include "entry/forwarder.hpp"

namespace skylark::entry {

void forwarder::request_token(request_id key) {
    request& req = *m_requests.find(key);
    if (req.m_team.empty()) {
        enqueue(key);
        return;
    }
    // The answer may come during the call, and is then its result.
    const allowance_verdict verdict =
        m_shared.m_allowances.admit(req.m_team, key);
    if (verdict == allowance_verdict::waiting)
        req.m_token = token_state::awaited;
    else
        token_decided({key.value(), verdict == allowance_verdict::granted,
                       verdict == allowance_verdict::refused
                           ? m_shared.m_allowances.retry_after(req.m_team)
                           : duration{0}});
}

void forwarder::token_decided(const allowance_decision& decided) {
    const request_id key{decided.m_request};
    request* req = m_requests.find(key);
    if (!req)
        return;
    req->m_token = decided.m_granted ? token_state::held : token_state::none;
    if (req->m_machine.done())
        return; // refused meanwhile; its end gives the token back
    if (decided.m_granted) {
        enqueue(key);
        return;
    }
    req->m_over_limit = decided.m_retry_after;
    apply(key, req->m_machine.rejected());
}

void forwarder::enqueue(request_id key) {
    request& req = *m_requests.find(key);
    const limits& bounds = m_shared.m_config.current().m_limits;
    const std::string service = req.m_service.m_name;
    retry_budget(service).deposit(bounds.m_retry_percent);
    if (req.m_machine.terms().m_idempotent) {
        m_hedge_budget.deposit(m_hedge_percent[service]);
        if (req.m_class != request_class::bulk && bounds.m_hedge_percent > 0)
            req.m_hedge_timer = m_shared.m_loop.after(
                bounds.m_hedge_after, [this, key] { hedge(key); });
    }
    req.m_queued = true;
    m_queues[service].push(req.m_class, key);
    dispatch_service(service);
}

void forwarder::release_token(const std::string& team, request_id key,
                              token_state state) {
    if (state == token_state::awaited)
        m_shared.m_allowances.cancel(team, key);
    else if (state == token_state::held)
        m_shared.m_allowances.give_back(team);
}

} // namespace skylark::entry
