// Membership protocol: heartbeats of a round, and store watchers of a zone.
#include <skylark/member/table.hpp>

#include <algorithm>

#include <skylark/core/hash.hpp>

namespace skylark {

namespace {
// A member that is silent for more heartbeat periods than this is not a
// watcher.
constexpr int max_silent_periods = 4;
} // namespace

std::vector<silence> member_table::own_silences(time_point now) const {
    std::vector<silence> out;
    const duration reporting_threshold = m_timing.m_hold_down / 2;
    for (const auto& [id, peer] : m_peers)
        if (peer.silence_at(now) >= reporting_threshold)
            out.push_back({peer.m_record.m_name, peer.silence_at(now)});
    for (const auto& [id, gone] : m_departed)
        out.push_back({{id, gone.m_incarnation}, now - gone.m_silent_since});
    return out;
}

heartbeat member_table::message_for(const member* to, bool settled,
                                    const config_mark& mark,
                                    time_point now) const {
    heartbeat out;
    out.m_sender = m_self;
    out.m_state = m_state;
    out.m_sequence = m_sequence;
    out.m_view_hash = m_view.hash();
    out.m_settled_hash = settled ? m_view.hash() : 0;
    out.m_config = mark;
    out.m_requests = m_requests;
    out.m_silent = own_silences(now);
    if (!to)
        return out;
    out.m_acknowledged = to->m_last_sequence;
    out.m_acknowledged_incarnation = to->m_record.m_name.m_incarnation;
    if (to->m_view_hash != m_view.hash())
        for (const auto& [id, peer] : m_peers)
            out.m_members.push_back(peer.m_record);
    return out;
}

std::vector<outgoing_heartbeat> member_table::tick(time_point now, bool settled,
                                                   const config_mark& mark) {
    if (m_had_majority && !has_majority(now))
        lapse();
    m_released = m_state == member_state::leaving && settled;
    remove_silent(now);
    prune_history(now);
    rebuild_view(now);
    become_active(now);
    ++m_sequence;
    m_sent.push_back({m_sequence, now});
    std::vector<outgoing_heartbeat> out;
    std::set<address> unknown = m_seeds;
    unknown.insert(m_listed.begin(), m_listed.end());
    for (const auto& [id, peer] : m_peers) {
        out.push_back({{peer.m_record.m_contact.m_peer},
                       message_for(&peer, settled, mark, now)});
        unknown.erase(peer.m_record.m_contact.m_peer);
    }
    for (const address& seed : unknown)
        out.push_back({{seed}, message_for(nullptr, settled, mark, now)});
    return out;
}

std::vector<entry_id> member_table::own_zone_watchers(std::size_t count,
                                                      time_point now) const {
    const auto score = [](entry_id of) {
        return rendezvous(hash("store watcher"), of.value());
    };
    const duration max_silence = max_silent_periods * m_timing.m_period;
    std::vector<entry_id> out{m_self.m_name.m_id};
    for (const auto& [id, peer] : m_peers)
        if (peer.m_record.m_contact.m_zone == m_self.m_contact.m_zone &&
            peer.m_state != member_state::leaving &&
            peer.silence_at(now) <= max_silence)
            out.push_back(id);
    std::sort(out.begin(), out.end(), [&](entry_id left, entry_id right) {
        return score(left) > score(right);
    });
    out.resize(std::min(out.size(), count));
    return out;
}

} // namespace skylark
