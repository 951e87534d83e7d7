// Client: decisions on requests, and tokens that are held.
#include <skylark/allowance/client.hpp>

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

constexpr double demand_seconds = 2.0; // over which demand is averaged
// Below this demand, in requests a second, a token lent ahead would mostly
// expire unused.
constexpr double steady_demand = 4.0;
// Demand of this time is borrowed ahead; the tokens expire after a second.
constexpr double ahead_seconds = 0.25;

} // namespace

allowance_client::allowance_client(std::uint64_t seed)
    : m_random{seed}, m_last_sequence{(std::uint64_t{m_random()} << 16U) + 1} {}

double allowance_client::random() {
    constexpr std::uint32_t steps = 1U << 20U;
    return static_cast<double>(m_random(steps)) / steps;
}

allowance_steps
allowance_client::configure(std::span<const team_limit> limits) {
    allowance_steps out;
    std::map<std::uint64_t, team_state> next;
    for (const team_limit& item : limits) {
        const auto known = m_teams.find(item.m_team);
        if (known != m_teams.end()) {
            next[item.m_team] = std::move(known->second);
            m_teams.erase(known);
        }
        next[item.m_team].m_limit = item;
    }
    for (auto& [team, gone] : m_teams)
        while (!gone.m_waiting.empty())
            decide(gone, true, {}, out);
    m_teams = std::move(next);
    return out;
}

void allowance_client::note_demand(team_state& of, time_point now) const {
    const std::chrono::duration<double> gap = now - of.m_last_request;
    of.m_last_request = now;
    of.m_demand = of.m_demand * std::exp(-gap.count() / demand_seconds) +
                  1.0 / demand_seconds;
}

std::uint32_t allowance_client::ahead_for(const team_state& of) const {
    if (of.m_demand < steady_demand)
        return 0;
    const double usual = std::min(of.m_demand, of.m_limit.m_rate);
    return static_cast<std::uint32_t>(std::ceil(usual * ahead_seconds));
}

void allowance_client::drop_expired(team_state& of, time_point now) const {
    while (!of.m_lots.empty() && of.m_lots.front().m_expires <= now) {
        of.m_unused += of.m_lots.front().m_count;
        of.m_lots.pop_front();
    }
}

bool allowance_client::take(team_state& of, time_point now) const {
    drop_expired(of, now);
    if (of.m_lots.empty())
        return false;
    if (--of.m_lots.front().m_count == 0)
        of.m_lots.pop_front();
    return true;
}

allowance_verdict allowance_client::admit(std::uint64_t team,
                                          std::uint64_t request, time_point now,
                                          allowance_steps& out) {
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return allowance_verdict::granted;
    team_state& of = found->second;
    note_demand(of, now);
    notice(of, now, out);
    const auto refuse = [&of] {
        ++of.m_counts.m_refused;
        return allowance_verdict::refused;
    };
    // Requests that wait go first, in the order of their arrival.
    if (of.m_waiting.empty() && take(of, now)) {
        ++of.m_counts.m_granted;
        const std::uint32_t wanted = ahead_for(of);
        std::uint32_t held = 0;
        for (const lot& item : of.m_lots)
            held += item.m_count;
        if (!of.m_question && held * 2 < wanted && now >= of.m_refuse_until)
            ask(of, now, out);
        return allowance_verdict::granted;
    }
    if (of.m_alone_since) {
        update_share(of, now);
        if (!of.m_question)
            ask(of, now, out);
        if (!of.m_share.take(now))
            return refuse();
        ++of.m_counts.m_granted;
        return allowance_verdict::granted;
    }
    if (now < of.m_refuse_until)
        return refuse();
    of.m_waiting.push_back(request);
    if (!of.m_question)
        ask(of, now, out);
    return allowance_verdict::waiting;
}

void allowance_client::cancel(std::uint64_t team, std::uint64_t request) {
    const auto found = m_teams.find(team);
    if (found != m_teams.end())
        std::erase(found->second.m_waiting, request);
}

allowance_steps allowance_client::give_back(std::uint64_t team,
                                            time_point now) {
    allowance_steps out;
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return out;
    team_state& of = found->second;
    of.m_lots.push_back({1, now + paced_share::token_life});
    serve_waiting(of, now, out);
    return out;
}

duration allowance_client::retry_after(std::uint64_t team, time_point now) {
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return {};
    team_state& of = found->second;
    if (of.m_alone_since)
        return std::max<duration>(of.m_share.until_next(now), milliseconds{1});
    const duration interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{1.0 / of.m_limit.m_rate});
    const time_point room = std::max(of.m_room_at, of.m_refuse_until);
    // The next caller is told a later time, so that they do not coincide.
    of.m_room_at =
        std::min<time_point>(std::max(room, now) + interval, now + seconds{3});
    return std::max<duration>(room - now, milliseconds{1});
}

void allowance_client::decide(team_state& of, bool granted,
                              duration retry_after,
                              allowance_steps& out) const {
    out.m_decided.push_back({of.m_waiting.front(), granted, retry_after});
    of.m_waiting.pop_front();
    ++(granted ? of.m_counts.m_granted : of.m_counts.m_refused);
}

void allowance_client::serve_waiting(team_state& of, time_point now,
                                     allowance_steps& out) const {
    while (!of.m_waiting.empty() && take(of, now))
        decide(of, true, {}, out);
}

bool allowance_client::busy() const {
    return std::any_of(m_teams.begin(), m_teams.end(), [](const auto& item) {
        return item.second.m_question || !item.second.m_waiting.empty();
    });
}

bool allowance_client::alone(std::uint64_t team) const {
    const auto found = m_teams.find(team);
    return found != m_teams.end() && found->second.m_alone_since;
}

allowance_counts allowance_client::counts(std::uint64_t team) const {
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return {};
    allowance_counts out = found->second.m_counts;
    out.m_waiting = found->second.m_waiting.size();
    return out;
}

} // namespace skylark
