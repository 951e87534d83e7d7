// Lender: questions for tokens, and the buckets they are taken from.
#include <skylark/allowance/lender.hpp>

#include <algorithm>

namespace skylark {

namespace {

// Part of the tolerated excess that an interim lender may lend in a second;
// with interim_capacity() 0.7 of it in 5 s. The rest is for entries without a
// lender.
constexpr double interim_rate = 0.08;
constexpr duration token_life = seconds{1};
// While all entries start, several that know a part of the others lend at once.
constexpr double doubtful = 2.0;
// An entry that asks less often than this is not counted among the askers.
constexpr duration asker_life = seconds{2};
// Part of the bucket that is lent ahead of demand.
constexpr double ahead_part = 0.125;
constexpr duration least_quiet = milliseconds{10};
constexpr duration longest_quiet = milliseconds{500};
constexpr duration longest_room_in = seconds{3};

duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{value});
}

} // namespace

void allowance_lender::configure(std::span<const team_limit> limits,
                                 time_point now) {
    std::map<std::uint64_t, bucket> next;
    for (const team_limit& item : limits) {
        bucket& to = next[item.m_team];
        const auto known = m_buckets.find(item.m_team);
        if (known != m_buckets.end()) {
            refill(known->second, now);
            to = std::move(known->second);
        }
        to.m_limit = item;
        refill(to, now);
        note_first(to, now);
    }
    m_buckets = std::move(next);
}

std::size_t allowance_lender::lending() const {
    std::size_t out = 0;
    for (const auto& [team, of] : m_buckets)
        out += of.m_state == lending_state::active ? 1 : 0;
    return out;
}

bool allowance_lender::is_first(const bucket& of) const {
    return m_view.rank(of.m_limit.m_team).m_first == m_view.m_self;
}

entry_id allowance_lender::rival_of(const bucket& of) const {
    const auto [first, second] = m_view.rank(of.m_limit.m_team);
    return first == m_view.m_self ? second : first;
}

// Part of the limit that this lender may lend: that of the members which it
// hears, without those that use their own shares because they do not hear it.
double allowance_lender::part(const bucket& of, time_point now) const {
    auto members = static_cast<double>(m_view.m_live.size());
    for (const auto& [who, item] : of.m_askers)
        if (item.m_alone_until > now && m_view.is_member(who))
            members -= 1.0;
    const bool certain = m_view.m_settled || m_view.m_single || of.m_vouched;
    const double doubt = certain ? 1.0 : doubtful;
    return std::clamp(members / m_view.size() / doubt, 0.0, 1.0);
}

void allowance_lender::refill(bucket& of, time_point now) const {
    const std::chrono::duration<double> elapsed = now - of.m_refilled;
    of.m_refilled = now;
    const double share = part(of, now);
    double rate = of.m_limit.m_rate * share;
    double capacity = of.m_limit.capacity(share);
    if (of.m_state == lending_state::interim) {
        rate = std::min(rate, of.m_limit.slack() * interim_rate);
        capacity = of.m_limit.interim_capacity();
    } else if (of.m_state != lending_state::active) {
        return;
    }
    while (!of.m_ahead.empty() && of.m_ahead.front().m_expires <= now)
        of.m_ahead.pop_front();
    for (const lot& item : of.m_ahead)
        capacity -= item.m_count;
    of.m_tokens = std::clamp(of.m_tokens + elapsed.count() * rate, 0.0,
                             std::max(0.0, capacity));
}

void allowance_lender::begin(bucket& of, lending_state state, double tokens,
                             time_point now) const {
    of.m_state = state;
    of.m_vouched = false;
    of.m_tokens = tokens;
    of.m_refilled = now;
    of.m_ahead.clear();
    of.m_room_at = now;
    of.m_first_since.reset();
}

allowance_message allowance_lender::lend(bucket& of,
                                         const allowance_message& question,
                                         time_point now) const {
    refill(of, now);
    if (of.m_state == lending_state::active && question.m_returned > 0) {
        of.m_tokens += question.m_returned;
        refill(of, now);
    }
    allowance_message out;
    const auto whole = [&of] {
        return static_cast<std::uint32_t>(std::max(0.0, of.m_tokens));
    };
    const std::uint32_t granted = std::min(question.m_count, whole());
    of.m_tokens -= granted;
    out.m_count = granted;
    if (granted == question.m_count) {
        const auto spare = static_cast<std::uint32_t>(of.m_tokens * ahead_part);
        const std::uint32_t ahead = std::min(question.m_ahead, spare);
        of.m_tokens -= ahead;
        out.m_count += ahead;
        if (ahead > 0)
            of.m_ahead.push_back({ahead, now + token_life});
        if (of.m_tokens >= 1.0)
            of.m_room_at = now;
        return out;
    }
    // Callers that are refused together are told to return one by one.
    const double rate = std::max(0.01, of.m_limit.m_rate * part(of, now));
    of.m_room_at =
        std::max(of.m_room_at, now + from_seconds((1.0 - of.m_tokens) / rate));
    out.m_room_in = std::min<duration>(of.m_room_at - now, longest_room_in);
    of.m_room_at = std::min(
        of.m_room_at + from_seconds((question.m_count - granted) / rate),
        now + longest_room_in);
    // Together the entries ask about twice as often as there are tokens.
    const double fair = static_cast<double>(of.m_askers.size()) / rate / 2.0;
    out.m_quiet = std::clamp<duration>(from_seconds(std::min(fair, 10.0)),
                                       least_quiet, longest_quiet);
    return out;
}

void allowance_lender::answer(bucket& of, const allowance_message& question,
                              time_point now,
                              std::vector<outgoing_allowance>& out) const {
    std::erase_if(of.m_askers, [now](const auto& item) {
        return now - item.second.m_last > asker_life;
    });
    asker& from = of.m_askers[question.m_from];
    from.m_last = now;
    if (question.m_alone)
        from.m_alone_until = now + asker_life;
    else
        from.m_alone_until = {};
    // A retry gets the same answer, so that no token is lent twice.
    if (from.m_answer.m_sequence == question.m_sequence) {
        out.push_back({question.m_from, from.m_answer});
        return;
    }
    prepare(of, question, now, out);
    allowance_message reply;
    const bool lends = of.m_state == lending_state::active ||
                       of.m_state == lending_state::interim;
    if (of.m_state == lending_state::pending)
        return; // the question is repeated by then
    if (lends)
        reply = lend(of, question, now);
    else
        reply.m_owner = m_view.rank(of.m_limit.m_team).m_first;
    reply.m_kind = allowance_kind::grant;
    reply.m_team = question.m_team;
    reply.m_from = m_view.m_self;
    reply.m_sequence = question.m_sequence;
    if (lends)
        from.m_answer = reply;
    out.push_back({question.m_from, reply});
}

std::vector<outgoing_allowance>
allowance_lender::received(const allowance_message& message, time_point now) {
    std::vector<outgoing_allowance> out;
    const auto found = m_buckets.find(message.m_team);
    if (found == m_buckets.end())
        return out;
    bucket& of = found->second;
    switch (message.m_kind) {
    case allowance_kind::question:
        answer(of, message, now, out);
        break;
    case allowance_kind::yield_request:
        yield(of, message, now, out);
        break;
    case allowance_kind::yield_reply:
        yielded(of, message, now);
        break;
    case allowance_kind::grant:
        break;
    }
    return out;
}

} // namespace skylark
