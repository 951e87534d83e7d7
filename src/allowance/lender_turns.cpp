// Lender: which of several entries lends, as members join, die and lose each
// other.
#include <skylark/allowance/lender.hpp>

namespace skylark {

namespace {

// By then every member has noticed a death or a partition (2.5 s, members).
constexpr duration agreement_time = seconds{3};
// Two questions without an answer of the rival: 25 ms apart, and the way back.
constexpr duration rival_timeout = milliseconds{45};
constexpr duration yield_retry = milliseconds{20};
// Datagrams get lost; a rival that lends must not be taken for dead. Without
// the copies, loss of 2 % made a second lender every few seconds.
constexpr int yield_copies = 2;
constexpr std::uint32_t least_yield_requests = 2;
constexpr std::size_t most_rivals = 4;
constexpr duration interim_yield_retry = milliseconds{200};
// A pending request older than this belongs to an earlier failure.
constexpr duration pending_life = seconds{1};

} // namespace

std::vector<outgoing_allowance>
allowance_lender::set_view(const allowance_view& view, time_point now) {
    std::vector<outgoing_allowance> out;
    for (auto& [team, of] : m_buckets)
        refill(of, now);
    m_view = view;
    for (auto& [team, of] : m_buckets) {
        note_first(of, now);
        const bool lends = of.m_state == lending_state::active;
        if (!lends || is_first(of))
            continue;
        const entry_id first = m_view.rank(team).m_first;
        const allowance_message message = stop(of, now);
        if (first)
            out.push_back({first, message});
    }
    return out;
}

void allowance_lender::note_first(bucket& of, time_point now) const {
    if (!m_view.m_settled || !is_first(of))
        of.m_first_since.reset();
    else if (!of.m_first_since)
        of.m_first_since = now;
}

// Tokens of the time in which nobody lent: this entry was the first member, all
// members knew it, and it was not asked. Without them the first requests of a
// team that was idle would be refused.
double allowance_lender::saved_tokens(const bucket& of, time_point now) const {
    if (!of.m_first_since)
        return 0.0;
    const std::chrono::duration<double> idle =
        now - *of.m_first_since - agreement_time;
    const double share = part(of, now);
    return std::clamp(idle.count() * of.m_limit.m_rate * share, 0.0,
                      of.m_limit.capacity(share));
}

// Several members may have joined since the former owner was the first one, so
// more than the second one are asked.
void allowance_lender::request_yield(
    bucket& of, time_point now, std::vector<outgoing_allowance>& out) const {
    const duration period = of.m_state == lending_state::interim
                                ? interim_yield_retry
                                : yield_retry;
    if (now - of.m_last_yield_request < period)
        return;
    of.m_last_yield_request = now;
    ++of.m_yield_requests;
    allowance_message message;
    message.m_kind = allowance_kind::yield_request;
    message.m_team = of.m_limit.m_team;
    message.m_from = m_view.m_self;
    std::vector<entry_id> others = m_view.m_live;
    std::erase(others, m_view.m_self);
    const std::size_t most = is_first(of) ? most_rivals : 1;
    for (std::size_t i = 0; i < most && !others.empty(); ++i) {
        const entry_id next =
            allowance_view::rank(of.m_limit.m_team, others).m_first;
        std::erase(others, next);
        for (int copy = 0; copy < yield_copies; ++copy)
            out.push_back({next, message});
    }
}

// Brings the bucket into a state in which it can be lent from, if it is this
// entry's to lend.
void allowance_lender::prepare(bucket& of, const allowance_message& question,
                               time_point now,
                               std::vector<outgoing_allowance>& out) const {
    const bool first = is_first(of);
    if (of.m_state == lending_state::interim &&
        now - of.m_interim_since > agreement_time && first)
        begin(of, lending_state::active, 0.0, now);
    if (of.m_state == lending_state::active)
        return;
    const bool asked_for = first || question.m_owner_silent ||
                           of.m_state == lending_state::interim;
    if (!asked_for || !m_view.is_member(m_view.m_self))
        return;
    if (!rival_of(of)) {
        begin(of, lending_state::active, 0.0, now);
        return;
    }
    if (of.m_state == lending_state::idle ||
        (of.m_state == lending_state::pending &&
         now - of.m_last_yield_request > pending_life)) {
        of.m_state = lending_state::pending;
        of.m_pending_since = now;
        of.m_yield_requests = 0;
    }
    if (of.m_state == lending_state::pending &&
        of.m_yield_requests >= least_yield_requests &&
        now - of.m_pending_since >= rival_timeout) {
        begin(of, lending_state::interim, of.m_limit.interim_capacity(), now);
        of.m_interim_since = now;
    }
    request_yield(of, now, out);
}

// Ends the lending; what is left goes to the next lender.
allowance_message allowance_lender::stop(bucket& of, time_point now) const {
    allowance_message out;
    out.m_kind = allowance_kind::yield_reply;
    out.m_team = of.m_limit.m_team;
    out.m_from = m_view.m_self;
    out.m_yielded = true;
    refill(of, now);
    if (of.m_state == lending_state::active) {
        out.m_count = static_cast<std::uint32_t>(of.m_tokens);
        out.m_vouched = m_view.m_settled || of.m_vouched;
    }
    of.m_state = lending_state::idle;
    of.m_tokens = 0.0;
    of.m_first_since.reset();
    return out;
}

// Of two entries the one with the higher score lends; which one that is does
// not depend on what they know of others.
void allowance_lender::yield(bucket& of, const allowance_message& request,
                             time_point now,
                             std::vector<outgoing_allowance>& out) const {
    const std::uint64_t team = of.m_limit.m_team;
    const bool outranked = rendezvous(team, request.m_from.value()) >
                           rendezvous(team, m_view.m_self.value());
    if (outranked || !m_view.is_member(m_view.m_self)) {
        out.push_back({request.m_from, stop(of, now)});
        return;
    }
    allowance_message reply;
    reply.m_kind = allowance_kind::yield_reply;
    reply.m_team = team;
    reply.m_from = m_view.m_self;
    out.push_back({request.m_from, reply});
}

// A reply with tokens comes from the former lender, also unasked. Others only
// say that they do not lend.
void allowance_lender::yielded(bucket& of, const allowance_message& reply,
                               time_point now) const {
    const bool was_lender =
        reply.m_yielded && (reply.m_vouched || reply.m_count > 0);
    if (of.m_state == lending_state::active) {
        of.m_tokens += reply.m_yielded ? reply.m_count : 0;
        of.m_vouched = of.m_vouched || reply.m_vouched;
        refill(of, now);
        return;
    }
    if (reply.m_from != rival_of(of) && !was_lender)
        return;
    if (!reply.m_yielded) {
        of.m_state = lending_state::idle;
        return;
    }
    const bool waited = of.m_state == lending_state::pending ||
                        of.m_state == lending_state::interim;
    if (!waited && !is_first(of))
        return;
    // An interim lender has lent tokens that were not its own.
    double left = of.m_state == lending_state::interim ? 0.0 : reply.m_count;
    if (of.m_state == lending_state::pending && !was_lender)
        left = saved_tokens(of, now);
    begin(of, lending_state::active, left, now);
    of.m_vouched = reply.m_vouched;
    refill(of, now);
}

} // namespace skylark
