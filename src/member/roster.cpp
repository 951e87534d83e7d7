// Roster: processing of received heartbeats, and detection of missing ones.
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
    return !missed && of.silence_at(now) <= m_timing.m_stale_timeout;
}

// A subscriber renews its subscription in every round. If it stops, it counts
// as missed, unless another relay has heard from it since.
void roster::mark_missed(time_point now) {
    for (auto& [id, from] : m_links) {
        if (!from.m_last_subscribed || from.m_missed)
            continue;
        const bool silent =
            now - *from.m_last_subscribed > m_timing.m_missing_timeout;
        const bool heard_since = m_peers.at(id).m_last_heard >
                                 *from.m_last_subscribed + m_timing.m_period;
        from.m_missed = silent && !heard_since;
        m_changed = m_changed || from.m_missed;
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

void roster::remove_expired(time_point now) {
    std::erase_if(m_removed, [&](const auto& item) {
        return now - item.second.m_at > m_timing.m_removal_memory;
    });
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        if (it->second.silence_at(now) <= m_timing.m_removal_timeout) {
            ++it;
            continue;
        }
        const bool left = it->second.m_state == member_state::leaving;
        m_changes.push_back(
            {left ? member_change::kind::left : member_change::kind::gone,
             it->second.m_record.m_name});
        m_removed[it->first] = {it->second.m_record.m_name,
                                it->second.m_last_sequence, now};
        m_links.erase(it->first);
        it = m_peers.erase(it);
    }
}

bool roster::was_removed(const member_name& name,
                         std::uint64_t sequence) const {
    const auto found = m_removed.find(name.m_id);
    return sequence != 0 && found != m_removed.end() &&
           found->second.m_name == name && sequence <= found->second.m_sequence;
}

// The sequence number tells a newer heartbeat of the member from a copy of a
// known one that was held up on its way, whatever age its report claims.
void roster::apply_report(const member_record& record,
                          const member_report& report, const evidence& of) {
    const entry_id id = record.m_name.m_id;
    if (id == m_self.m_name.m_id)
        return;
    auto found = m_peers.find(id);
    if (found != m_peers.end() &&
        found->second.m_record.m_name != record.m_name) {
        // After the wall clock was set back, a restarted member has a smaller
        // incarnation; it is accepted once the old one is silent.
        const bool older = record.m_name < found->second.m_record.m_name;
        if (of.m_heard <= found->second.m_last_heard ||
            (older && of.m_heard - found->second.m_last_heard <
                          m_timing.m_missing_timeout))
            return;
        m_changes.push_back({member_change::kind::replaced, record.m_name});
        m_links[id] = {};
        found->second = {};
        m_changed = true;
    }
    if (found == m_peers.end()) {
        if (was_removed(record.m_name, of.m_sequence))
            return;
        m_removed.erase(id);
        found = m_peers.try_emplace(id).first;
        m_links[id] = {};
        m_changes.push_back({member_change::kind::joined, record.m_name});
        m_changed = true;
    }
    member& peer = found->second;
    peer.m_record = record;
    link_state& to = m_links[id];
    const bool newer = of.m_sequence != 0 && peer.m_last_sequence != 0
                           ? of.m_sequence > peer.m_last_sequence
                           : of.m_heard > peer.m_last_heard;
    if (!newer) {
        // Both relays expect heartbeats of the member, at slightly different
        // times, so a miss counts if it is at most one period older.
        to.m_missed =
            to.m_missed || (report.m_missed &&
                            of.m_heard + m_timing.m_period > peer.m_last_heard);
        return;
    }
    m_changed = m_changed || peer.m_state != report.m_state ||
                to.m_missed != report.m_missed ||
                peer.m_config.m_store_lost != report.m_store_lost;
    to.m_missed = report.m_missed;
    peer.m_last_sequence = std::max(peer.m_last_sequence, of.m_sequence);
    peer.m_last_heard = std::max(peer.m_last_heard, of.m_heard);
    peer.m_silent_since = std::max(peer.m_silent_since, of.m_silent_since);
    peer.m_state = report.m_state;
    peer.m_requests = report.m_requests;
    peer.m_config.m_revision = report.m_revision;
    peer.m_config.m_version = report.m_version;
    peer.m_config.m_store_lost = report.m_store_lost;
}

void roster::received(const heartbeat& message, time_point arrived,
                      time_point now) {
    const member_name& name = message.m_sender.m_name;
    if (name.m_id == m_self.m_name.m_id)
        return;
    m_last_received = now;
    apply_report(message.m_sender,
                 {name, duration{0}, false, message.m_state,
                  message.m_config.m_revision, message.m_requests,
                  message.m_config.m_store_lost, message.m_config.m_version},
                 {message.m_sequence, arrived, now});
    const auto sender = m_peers.find(name.m_id);
    if (sender == m_peers.end() || sender->second.m_record.m_name != name ||
        message.m_sequence < sender->second.m_last_sequence)
        return;
    sender->second.m_heard_directly = true;
    sender->second.m_config = message.m_config;
    link_state& from = m_links[name.m_id];
    from.m_unanswered_since.reset();
    from.m_avoid_until = {};
    if (message.m_wants != subscription::nothing) {
        const bool continued =
            from.m_last_subscribed &&
            now - *from.m_last_subscribed <= m_timing.m_missing_timeout;
        if (!continued)
            from.m_subscribed_since = now;
        from.m_last_subscribed = now;
        from.m_wants = message.m_wants;
        from.m_view_hash = message.m_view_hash;
    }
    std::map<member_name, const member_record*> records;
    for (const member_record& record : message.m_members)
        records[record.m_name] = &record;
    for (const member_report& report : message.m_reports) {
        if (report.m_age > m_timing.m_removal_timeout)
            continue;
        const auto known = m_peers.find(report.m_name.m_id);
        const auto record = records.find(report.m_name);
        const evidence of{report.m_sequence, arrived - report.m_age,
                          now - report.m_age};
        if (record != records.end())
            apply_report(*record->second, report, of);
        else if (known != m_peers.end() &&
                 known->second.m_record.m_name == report.m_name)
            apply_report(member_record{known->second.m_record}, report, of);
    }
}

void roster::paused(duration gap, time_point now) {
    m_last_received = now;
    for (auto& [id, peer] : m_peers)
        peer.m_silent_since = std::min(peer.m_silent_since + gap, now);
    for (auto& [id, to] : m_links)
        to = {std::nullopt, {},         std::nullopt,  now,
              to.m_missed,  to.m_wants, to.m_view_hash};
}

} // namespace skylark
