// Roster: relays of each zone, their reports, silence.
#include <skylark/member/roster.hpp>

#include <algorithm>
#include <tuple>

#include <skylark/core/hash.hpp>
#include <skylark/member/view.hpp>

namespace skylark {

namespace {

// Whoever asked for reports gets them for this many rounds without asking.
constexpr int subscriber_rounds = 5;

// The same order in every process.
std::uint64_t relay_score(entry_id of) {
    static const std::uint64_t key = hash("relay");
    return rendezvous(key, of.value());
}

} // namespace

roster::roster(const member_record& self, std::vector<address> seeds,
               const roster_timing& timing)
    : m_self{self}, m_timing{timing}, m_seeds{seeds.begin(), seeds.end()} {
    m_seeds.erase(self.m_contact.m_peer);
}

void roster::add_seeds(std::span<const address> seeds) {
    m_seeds.insert(seeds.begin(), seeds.end());
    m_seeds.erase(m_self.m_contact.m_peer);
}

void roster::set_listed(std::span<const address> listed) {
    m_listed = {listed.begin(), listed.end()};
    m_listed.erase(m_self.m_contact.m_peer);
}

bool roster::live(const member& of, time_point now) const {
    const auto found = m_links.find(of.m_record.m_name.m_id);
    const bool missed = found != m_links.end() && found->second.m_missed;
    return !missed && now - of.m_heard <= m_timing.m_stale;
}

// Whoever subscribes does so in every round, until it stops or another relay
// hears it instead.
void roster::miss_silent(time_point now) {
    for (auto& [id, from] : m_links) {
        if (!from.m_subscribed || from.m_missed)
            continue;
        const bool silent = now - *from.m_subscribed > m_timing.m_missing;
        const bool heard_since =
            m_peers.at(id).m_heard > *from.m_subscribed + m_timing.m_period;
        from.m_missed = silent && !heard_since;
        m_news = m_news || from.m_missed;
    }
}

std::set<std::uint64_t> roster::other_zones() const {
    std::set<std::uint64_t> out;
    for (const auto& [id, peer] : m_peers)
        out.insert(peer.m_record.m_contact.m_zone);
    out.erase(m_self.m_contact.m_zone);
    return out;
}

bool roster::avoided(entry_id key, time_point now) const {
    const auto found = m_links.find(key);
    return found != m_links.end() && found->second.m_avoid_until > now;
}

std::vector<entry_id> roster::first_of(std::uint64_t zone, std::size_t count,
                                       time_point now) const {
    std::vector<std::tuple<bool, bool, std::uint64_t, entry_id>> ranked;
    const entry_id own = m_self.m_name.m_id;
    if (m_self.m_contact.m_zone == zone && m_state != member_state::leaving)
        ranked.emplace_back(false, false, ~relay_score(own), own);
    for (const auto& [id, peer] : m_peers)
        if (peer.m_record.m_contact.m_zone == zone &&
            peer.m_state != member_state::leaving)
            ranked.emplace_back(avoided(id, now), !live(peer, now),
                                ~relay_score(id), id);
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end());
    std::vector<entry_id> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(std::get<entry_id>(ranked[i]));
    return out;
}

bool roster::single_zone() const {
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [this](const auto& item) {
                           return item.second.m_record.m_contact.m_zone ==
                                  m_self.m_contact.m_zone;
                       });
}

void roster::choose_relays(time_point now) {
    m_relays.clear();
    const entry_id own = m_self.m_name.m_id;
    const std::uint64_t own_zone = m_self.m_contact.m_zone;
    const auto near = first_of(own_zone, m_timing.m_relays, now);
    m_is_relay = std::find(near.begin(), near.end(), own) != near.end();
    for (const entry_id id : near)
        if (id != own)
            m_relays[id] = subscription::fleet;
    if (m_is_relay)
        for (const std::uint64_t zone : other_zones())
            for (const entry_id id : first_of(zone, 1, now))
                m_relays[id] = subscription::zone;
    for (const auto& [id, wanted] : m_relays) {
        link& to = m_links[id];
        if (!to.m_asked)
            to.m_asked = now;
        else if (now - *to.m_asked > m_timing.m_relay_patience) {
            to.m_asked.reset();
            to.m_avoid_until = now + m_timing.m_relay_rest;
        }
    }
}

void roster::forget_silent(time_point now) {
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (now - it->second.m_heard <= m_timing.m_forget) {
            ++it;
            continue;
        }
        const bool left = it->second.m_state == member_state::leaving;
        m_changes.push_back(
            {left ? member_change::kind::left : member_change::kind::gone,
             it->second.m_record.m_name});
        m_links.erase(it->first);
        it = m_peers.erase(it);
    }
}

std::uint64_t roster::hash_of(subscription scope, std::uint64_t zone) const {
    const auto covers = [&](const member_record& of) {
        return scope == subscription::fleet || of.m_contact.m_zone == zone;
    };
    std::vector<member_name> names;
    if (covers(m_self))
        names.push_back(m_self.m_name);
    for (const auto& [id, peer] : m_peers)
        if (covers(peer.m_record))
            names.push_back(peer.m_record.m_name);
    return member_view{std::move(names)}.hash();
}

// Invariant of the exchange: a subscriber's hash covers what it wants, and the
// relay compares it with its own over the same members.
heartbeat roster::message_for(const addressees& group, const config_mark& mark,
                              time_point now) const {
    heartbeat out;
    out.m_sender = m_self;
    out.m_state = m_state;
    out.m_sequence = m_round;
    out.m_config = mark;
    out.m_requests = m_requests;
    out.m_wants = group.m_wanted;
    if (group.m_wanted != subscription::nothing)
        out.m_view_hash = hash_of(group.m_wanted, group.m_zone);
    if (group.m_reports == subscription::nothing)
        return out;
    for (const auto& [id, peer] : m_peers) {
        if (group.m_reports == subscription::zone &&
            peer.m_record.m_contact.m_zone != m_self.m_contact.m_zone)
            continue;
        out.m_reports.push_back({peer.m_record.m_name, now - peer.m_heard,
                                 m_links.at(id).m_missed, peer.m_state,
                                 peer.m_config.m_revision, peer.m_requests});
        if (group.m_records)
            out.m_members.push_back(peer.m_record);
    }
    return out;
}

// New members are found at the seeds and the addresses that the platform
// lists. A relay looks for its zone, and whoever has no relay for itself.
std::vector<address> roster::next_unknown() {
    std::set<address> unknown = m_listed;
    unknown.insert(m_seeds.begin(), m_seeds.end());
    for (const auto& [id, peer] : m_peers)
        unknown.erase(peer.m_record.m_contact.m_peer);
    auto next = unknown.upper_bound(m_next_try);
    std::vector<address> out;
    while (out.size() < std::min(unknown.size(), m_timing.m_tries)) {
        if (next == unknown.end())
            next = unknown.begin();
        m_next_try = *next++;
        out.push_back(m_next_try);
    }
    return out;
}

std::vector<outgoing_heartbeat> roster::tick(time_point now,
                                             const config_mark& mark) {
    ++m_round;
    forget_silent(now);
    miss_silent(now);
    choose_relays(now);
    m_live_count =
        1 + static_cast<std::size_t>(std::count_if(
                m_peers.begin(), m_peers.end(),
                [&](const auto& item) { return live(item.second, now); }));
    const bool reports =
        std::exchange(m_news, false) || m_round % m_timing.m_report_rounds == 0;
    // Most receivers get the same, which is then encoded only once.
    std::map<addressees, std::vector<address>> groups;
    const std::uint64_t fleet_hash = hash_of(subscription::fleet, 0);
    const std::uint64_t zone_hash =
        hash_of(subscription::zone, m_self.m_contact.m_zone);
    for (const auto& [id, peer] : m_peers) {
        const link& to = m_links.at(id);
        const auto wanted = m_relays.find(id);
        const bool subscribed =
            to.m_subscribed &&
            now - *to.m_subscribed <= subscriber_rounds * m_timing.m_period;
        if (wanted == m_relays.end() && !subscribed)
            continue;
        const member_contact& reach = peer.m_record.m_contact;
        addressees group;
        if (wanted != m_relays.end()) {
            group.m_wanted = wanted->second;
            group.m_zone = reach.m_zone;
        }
        if (subscribed && reports) {
            group.m_reports = to.m_wants;
            group.m_records =
                to.m_view_hash !=
                (to.m_wants == subscription::fleet ? fleet_hash : zone_hash);
        }
        groups[group].push_back(reach.m_peer);
    }
    if (m_is_relay)
        for (const address& unknown : next_unknown())
            groups[{subscription::fleet}].push_back(unknown);
    std::vector<outgoing_heartbeat> out;
    for (auto& [group, to] : groups)
        out.push_back({std::move(to), message_for(group, mark, now)});
    return out;
}

void roster::learn(const member_record& record, const member_report& said,
                   time_point heard) {
    const entry_id id = record.m_name.m_id;
    if (id == m_self.m_name.m_id)
        return;
    auto found = m_peers.find(id);
    if (found != m_peers.end() &&
        found->second.m_record.m_name != record.m_name) {
        // A wall clock that was set back gives a new life a smaller number;
        // the old life is silent then.
        const bool older = record.m_name < found->second.m_record.m_name;
        if (heard <= found->second.m_heard ||
            (older && heard - found->second.m_heard < m_timing.m_missing))
            return;
        m_changes.push_back({member_change::kind::replaced, record.m_name});
        m_links[id] = {};
        found->second = {};
        m_news = true;
    }
    if (found == m_peers.end()) {
        found = m_peers.try_emplace(id).first;
        m_links[id] = {};
        m_changes.push_back({member_change::kind::joined, record.m_name});
        m_news = true;
    }
    member& peer = found->second;
    peer.m_record = record;
    link& to = m_links[id];
    if (heard <= peer.m_heard) {
        // Two relays expect the same heartbeats, a little apart.
        to.m_missed = to.m_missed || (said.m_missed &&
                                      heard + m_timing.m_period > peer.m_heard);
        return;
    }
    m_news =
        m_news || peer.m_state != said.m_state || to.m_missed != said.m_missed;
    to.m_missed = said.m_missed;
    peer.m_heard = heard;
    peer.m_state = said.m_state;
    peer.m_requests = said.m_requests;
    peer.m_config.m_revision = said.m_revision;
}

void roster::received(const heartbeat& message, time_point now) {
    const member_name& name = message.m_sender.m_name;
    if (name.m_id == m_self.m_name.m_id)
        return;
    learn(message.m_sender,
          {name, duration{0}, false, message.m_state,
           message.m_config.m_revision, message.m_requests},
          now);
    const auto sender = m_peers.find(name.m_id);
    if (sender->second.m_record.m_name != name)
        return;
    sender->second.m_heard_directly = true;
    sender->second.m_config = message.m_config;
    link& from = m_links[name.m_id];
    from.m_asked.reset();
    from.m_avoid_until = {};
    if (message.m_wants != subscription::nothing) {
        from.m_subscribed = now;
        from.m_wants = message.m_wants;
        from.m_view_hash = message.m_view_hash;
    }
    std::map<member_name, const member_record*> records;
    for (const member_record& record : message.m_members)
        records[record.m_name] = &record;
    for (const member_report& said : message.m_reports) {
        if (said.m_age > m_timing.m_forget)
            continue;
        const auto known = m_peers.find(said.m_name.m_id);
        const auto record = records.find(said.m_name);
        if (record != records.end())
            learn(*record->second, said, now - said.m_age);
        else if (known != m_peers.end() &&
                 known->second.m_record.m_name == said.m_name)
            learn(member_record{known->second.m_record}, said,
                  now - said.m_age);
    }
}

void roster::paused(time_point now) {
    for (auto& [id, peer] : m_peers)
        peer.m_heard = now;
    for (auto& [id, to] : m_links)
        to = {std::nullopt, {},         std::nullopt,
              false,        to.m_wants, to.m_view_hash};
}

} // namespace skylark
