// Rate limits of teams in this entry: wires client and lender to the fleet.
#include "entry/allowance_service.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include <skylark/core/hash.hpp>

namespace skylark::entry {

namespace {
constexpr auto view_period = milliseconds{200};
// Members that were heard less long ago count for the division of limits, so
// that both sides of a partition together stay within them.
constexpr auto known_life = seconds{30};
// Within this time a new entry has heard of all members.
constexpr auto settling_time = seconds{3};
constexpr std::size_t shown_teams = 10;
} // namespace

allowance_service::allowance_service(io::event_loop& loop, fleet& members,
                                     journal& events, metrics& counts,
                                     std::uint64_t seed)
    : m_loop{loop}, m_members{members}, m_events{events}, m_counts{counts},
      m_client{seed ^ journal::wall_ms()} {}

void allowance_service::start(handler decided) {
    m_decided = std::move(decided);
    m_loop.every(view_period, [this] { refresh(); });
}

void allowance_service::configure(const document& config) {
    std::vector<team_limit> limits;
    std::map<std::uint64_t, limited_team> teams;
    for (const team& item : config.m_teams) {
        if (item.m_rate_per_s <= 0.0)
            continue;
        const std::uint64_t key = hash(item.m_name);
        limits.push_back({key, item.m_rate_per_s, item.m_burst});
        const auto known = m_teams.find(key);
        teams[key] =
            known == m_teams.end() ? limited_team{item.m_name} : known->second;
    }
    m_teams = std::move(teams);
    if (limits == m_limits)
        return;
    const bool first = m_limits.empty();
    m_limits = std::move(limits);
    const time_point now = io::event_loop::now();
    if (first)
        update_view(now);
    m_lender.configure(m_limits, now);
    carry_out(deliver(m_client.configure(m_limits)));
}

void allowance_service::update_view(time_point now) {
    m_view.m_self = m_members.self();
    m_view.m_live = m_members.live_members(now);
    m_view.m_settled = now - m_started > settling_time;
    m_view.m_single = m_members.single() && m_members.peers().empty();
    for (const entry_id item : m_view.m_live)
        m_last_live[item] = now;
    // A member that has left uses no tokens any more.
    for (const auto& [key, peer] : m_members.peers())
        if (peer.m_state == member_state::leaving)
            m_last_live.erase(key);
    std::erase_if(m_last_live, [now](const auto& item) {
        return now - item.second > known_life;
    });
    m_last_live[m_view.m_self] = now;
    m_view.m_known.clear();
    for (const auto& [key, at] : m_last_live)
        m_view.m_known.push_back(key);
    m_client.set_view(m_view);
    allowance_steps steps;
    steps.m_send = m_lender.set_view(m_view, now);
    carry_out(deliver(std::move(steps)));
}

void allowance_service::refresh() {
    if (m_limits.empty())
        return;
    update_view(io::event_loop::now());
    note_owners();
    show_figures();
}

void allowance_service::note_owners() {
    for (auto& [key, item] : m_teams) {
        const bool alone = m_client.alone(key);
        if (alone == item.m_alone)
            continue;
        item.m_alone = alone;
        const entry_id owner = m_view.rank(key).m_first;
        m_events.note(event_kind::share, "rate limit of team " + item.m_name,
                      "owner " + std::to_string(owner.value()) +
                          (alone ? " does not answer, uses its own share"
                                 : " answers again"));
    }
}

void allowance_service::show_figures() {
    std::vector<team_figures> all;
    for (const auto& [key, item] : m_teams) {
        const allowance_counts of = m_client.counts(key);
        if (of.m_granted + of.m_refused + of.m_waiting > 0)
            all.push_back({item.m_name, of.m_granted, of.m_refused, of.m_asked,
                           of.m_waiting});
    }
    const std::size_t shown = std::min(shown_teams, all.size());
    std::partial_sort(
        all.begin(), all.begin() + static_cast<std::ptrdiff_t>(shown),
        all.end(), [](const team_figures& left, const team_figures& right) {
            return left.m_granted + left.m_refused >
                   right.m_granted + right.m_refused;
        });
    all.resize(shown);
    m_counts.show(all);
}

void allowance_service::received(const allowance_message& message) {
    const time_point now = io::event_loop::now();
    allowance_steps steps;
    if (message.m_kind == allowance_kind::grant)
        steps = m_client.received(message, now);
    else
        steps.m_send = m_lender.received(message, now);
    carry_out(deliver(std::move(steps)));
}

allowance_verdict allowance_service::admit(std::string_view team,
                                           request_id key) {
    const std::uint64_t which = hash(team);
    if (!m_client.limited(which))
        return allowance_verdict::granted;
    allowance_steps steps;
    allowance_verdict out =
        m_client.admit(which, key.value(), io::event_loop::now(), steps);
    std::vector<allowance_decision> decided = deliver(std::move(steps));
    // The entry may be the owner itself, and answer its question at once.
    const auto own = std::find_if(decided.begin(), decided.end(),
                                  [key](const allowance_decision& item) {
                                      return item.m_request == key.value();
                                  });
    if (own != decided.end()) {
        out = own->m_granted ? allowance_verdict::granted
                             : allowance_verdict::refused;
        decided.erase(own);
    }
    carry_out(decided);
    return out;
}

void allowance_service::cancel(std::string_view team, request_id key) {
    m_client.cancel(hash(team), key.value());
}

void allowance_service::give_back(std::string_view team) {
    carry_out(deliver(m_client.give_back(hash(team), io::event_loop::now())));
}

duration allowance_service::retry_after(std::string_view team) {
    return m_client.retry_after(hash(team), io::event_loop::now());
}

std::vector<allowance_decision>
allowance_service::deliver(allowance_steps steps) {
    std::vector<allowance_decision> out;
    std::deque<outgoing_allowance> own;
    const auto take = [&](const allowance_steps& from) {
        out.insert(out.end(), from.m_decided.begin(), from.m_decided.end());
        for (const outgoing_allowance& item : from.m_send)
            if (item.m_to == m_view.m_self)
                own.push_back(item);
            else
                m_members.send_tokens(item);
    };
    allowance_steps next = std::move(steps);
    take(next);
    const time_point now = io::event_loop::now();
    while (!own.empty()) {
        const allowance_message message = own.front().m_message;
        own.pop_front();
        next = {};
        if (message.m_kind == allowance_kind::grant)
            next = m_client.received(message, now);
        else
            next.m_send = m_lender.received(message, now);
        take(next);
    }
    schedule_tick();
    return out;
}

void allowance_service::carry_out(
    const std::vector<allowance_decision>& decided) {
    for (const allowance_decision& item : decided)
        m_decided(item);
}

void allowance_service::schedule_tick() {
    if (m_ticking || !m_client.busy())
        return;
    m_ticking = true;
    m_loop.after(allowance_client::tick_period, [this] {
        m_ticking = false;
        carry_out(deliver(m_client.tick(io::event_loop::now())));
    });
}

} // namespace skylark::entry
