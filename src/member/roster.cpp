// Roster: what is learnt from heartbeats, and from their absence.
#include <skylark/member/roster.hpp>

#include <algorithm>

namespace skylark {

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

bool roster::single_zone() const {
    return std::all_of(m_peers.begin(), m_peers.end(),
                       [this](const auto& item) {
                           return item.second.m_record.m_contact.m_zone ==
                                  m_self.m_contact.m_zone;
                       });
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
    m_news = m_news || peer.m_state != said.m_state ||
             to.m_missed != said.m_missed ||
             peer.m_config.m_store_lost != said.m_store_lost;
    to.m_missed = said.m_missed;
    peer.m_heard = heard;
    peer.m_state = said.m_state;
    peer.m_requests = said.m_requests;
    peer.m_config.m_revision = said.m_revision;
    peer.m_config.m_store_lost = said.m_store_lost;
}

void roster::received(const heartbeat& message, time_point now) {
    const member_name& name = message.m_sender.m_name;
    if (name.m_id == m_self.m_name.m_id)
        return;
    learn(message.m_sender,
          {name, duration{0}, false, message.m_state,
           message.m_config.m_revision, message.m_requests,
           message.m_config.m_store_lost},
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
        const bool goes_on =
            from.m_subscribed && now - *from.m_subscribed <= m_timing.m_missing;
        if (!goes_on)
            from.m_subscribed_first = now;
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
        to = {std::nullopt, {},         std::nullopt,  now,
              false,        to.m_wants, to.m_view_hash};
}

} // namespace skylark
