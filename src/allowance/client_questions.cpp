// Client: questions to owners, their answers, and the time without an owner.
#include <skylark/allowance/client.hpp>

#include <algorithm>

namespace skylark {

namespace {

// Longer than a round trip between zones (9 ms in one deployment).
constexpr duration question_timeout = milliseconds{25};
// The question and three repeats.
constexpr std::uint32_t most_tries = 4;
// A replaced owner may take another one's place again.
constexpr duration replacement_life = seconds{3};
constexpr std::uint32_t most_redirects = 3;
// How often an entry without an owner asks for it.
constexpr duration alone_period = milliseconds{250};
constexpr duration notice_period = seconds{1};
// By then the owner lends no more for members that it does not hear (2.5 s,
// members); until then the own share comes out of the tolerated excess.
constexpr duration agreement_time = seconds{3};
constexpr double excess_part_per_s = 0.04;
// With tokens of up to a second before, 5 s hold 5.4 times the rate.
constexpr double share_part = 0.9;

} // namespace

void allowance_client::ask(team_state& of, time_point now,
                           allowance_steps& out) {
    drop_expired(of, now);
    const auto [first, second] = m_view.rank(of.m_limit.m_team);
    question& next = of.m_question.emplace(question{});
    next.m_sequence = ++m_last_sequence;
    next.m_target = now < of.m_replacement_until ? of.m_replacement : first;
    next.m_first_sent = now;
    next.m_count = static_cast<std::uint32_t>(of.m_waiting.size());
    allowance_message& message = next.m_message;
    message.m_kind = allowance_kind::question;
    message.m_team = of.m_limit.m_team;
    message.m_from = m_view.m_self;
    message.m_sequence = next.m_sequence;
    message.m_count = next.m_count;
    message.m_ahead = of.m_alone_since ? 0 : ahead_for(of);
    message.m_alone = of.m_alone_since.has_value();
    if (next.m_target == of.m_lender)
        message.m_returned = of.m_unused;
    of.m_unused = 0;
    send(of, now, out);
}

// From the first repeat on the second member for the team is asked too, as the
// first one may be dead.
void allowance_client::send(team_state& of, time_point now,
                            allowance_steps& out) const {
    question& current = *of.m_question;
    ++current.m_tries;
    current.m_last_sent = now;
    const auto to = [&](entry_id target) {
        if (!target)
            return;
        out.m_send.push_back({target, current.m_message});
        ++of.m_counts.m_asked;
    };
    to(current.m_target);
    if (current.m_tries == 1 && !of.m_alone_since)
        return;
    current.m_message.m_owner_silent = true;
    current.m_message.m_returned = 0;
    const auto [first, second] = m_view.rank(of.m_limit.m_team);
    for (const entry_id other : {first, second})
        if (other != current.m_target)
            to(other);
}

allowance_steps allowance_client::tick(time_point now) {
    allowance_steps out;
    for (auto& [team, of] : m_teams)
        if (of.m_question)
            repeat(of, now, out);
    return out;
}

void allowance_client::repeat(team_state& of, time_point now,
                              allowance_steps& out) {
    const question& current = *of.m_question;
    if (of.m_alone_since) {
        if (now - current.m_last_sent >= alone_period)
            of.m_question.reset();
        return;
    }
    if (now - current.m_last_sent < question_timeout)
        return;
    if (current.m_tries < most_tries)
        send(of, now, out);
    else
        begin_alone(of, now, out);
}

double allowance_client::own_rate(const team_state& of) const {
    const double whole = of.m_own_share
                             ? of.m_limit.m_rate * share_part
                             : std::min(of.m_limit.m_rate,
                                        of.m_limit.slack() * excess_part_per_s);
    return whole / m_view.size();
}

void allowance_client::begin_alone(team_state& of, time_point now,
                                   allowance_steps& out) {
    of.m_alone_since = now;
    of.m_own_share = false;
    of.m_replacement_until = {};
    of.m_share.restart(own_rate(of), random(), now);
    while (!of.m_waiting.empty()) {
        const bool granted = of.m_share.take(now);
        decide(of, granted, of.m_share.until_next(now), out);
    }
}

void allowance_client::update_share(team_state& of, time_point now) {
    if (of.m_own_share || now - *of.m_alone_since < agreement_time)
        return;
    of.m_own_share = true;
    of.m_share.restart(own_rate(of), random(), now);
}

// A member that hears nobody is its own owner, of its share. Where the others
// still hear it, the owner that they ask has to know.
void allowance_client::notice(team_state& of, time_point now,
                              allowance_steps& out) {
    if (m_view.m_live.size() == m_view.m_known.size() ||
        now - of.m_last_notice < notice_period)
        return;
    const entry_id among_all =
        allowance_view::rank(of.m_limit.m_team, m_view.m_known).m_first;
    if (among_all == m_view.rank(of.m_limit.m_team).m_first)
        return;
    of.m_last_notice = now;
    allowance_message message;
    message.m_kind = allowance_kind::question;
    message.m_team = of.m_limit.m_team;
    message.m_from = m_view.m_self;
    message.m_sequence = ++m_last_sequence;
    message.m_alone = true;
    out.m_send.push_back({among_all, message});
}

void allowance_client::accept_grant(team_state& of,
                                    const allowance_message& message,
                                    time_point now, allowance_steps& out) {
    const question done = *of.m_question;
    of.m_question.reset();
    of.m_alone_since.reset();
    if (message.m_from != done.m_target) {
        of.m_replacement = message.m_from;
        of.m_replacement_until = now + replacement_life;
    }
    if (message.m_count > 0) {
        if (message.m_from != of.m_lender)
            of.m_unused = 0;
        of.m_lender = message.m_from;
        of.m_lots.push_back(
            {message.m_count, done.m_first_sent + paced_share::token_life});
    }
    serve_waiting(of, now, out);
    if (message.m_count < done.m_count) {
        of.m_refuse_until = now + message.m_quiet;
        of.m_room_at = std::max(of.m_room_at, now + message.m_room_in);
        while (!of.m_waiting.empty())
            decide(of, false, retry_after(of.m_limit.m_team, now), out);
    } else if (!of.m_waiting.empty()) {
        ask(of, now, out);
    }
}

allowance_steps allowance_client::received(const allowance_message& message,
                                           time_point now) {
    allowance_steps out;
    const auto found = m_teams.find(message.m_team);
    if (message.m_kind != allowance_kind::grant || found == m_teams.end())
        return out;
    team_state& of = found->second;
    if (!of.m_question || of.m_question->m_sequence != message.m_sequence)
        return out;
    if (!message.m_owner) {
        accept_grant(of, message, now, out);
        return out;
    }
    // Another entry has taken the owner's place; its tokens are of its own.
    question& current = *of.m_question;
    const bool useless = message.m_from != current.m_target ||
                         message.m_owner == current.m_target ||
                         current.m_redirects >= most_redirects;
    if (useless || of.m_alone_since)
        return out;
    ++current.m_redirects;
    current.m_target = message.m_owner;
    of.m_replacement = message.m_owner;
    of.m_replacement_until = now + replacement_life;
    current.m_message.m_returned = 0;
    current.m_message.m_owner_silent = false;
    current.m_tries = 0;
    send(of, now, out);
    return out;
}

} // namespace skylark
