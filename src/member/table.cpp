// Membership protocol: lapses, removal by majority, received heartbeats.
#include <skylark/member/table.hpp>

#include <algorithm>
#include <functional>

namespace skylark {

namespace {
// Removed members are remembered, and reported as silent, for this many
// hold-down times after they were last heard from.
constexpr int departed_hold_downs = 5;
// Own heartbeats that are remembered to match acknowledgements.
constexpr std::size_t max_sent_heartbeats = 64;
} // namespace

member_table::member_table(const member_record& self,
                           std::vector<address> seeds,
                           const member_timing& timing, time_point now)
    : m_self{self}, m_timing{timing}, m_seeds{seeds.begin(), seeds.end()} {
    m_seeds.erase(self.m_contact.m_peer);
    m_seed_count = m_seeds.size();
    m_bootstrapped = m_seeds.empty();
    rebuild_view(now);
}

void member_table::add_seeds(std::span<const address> seeds) {
    m_seeds.insert(seeds.begin(), seeds.end());
    m_seeds.erase(m_self.m_contact.m_peer);
    if (!m_bootstrapped)
        m_seed_count = std::max(m_seed_count, m_seeds.size());
}

std::size_t member_table::quorum() const {
    std::size_t size = m_bootstrapped ? m_view.size() : m_seed_count + 1;
    for (const past_view_size& recent : m_recent_sizes)
        size = std::max(size, recent.m_size);
    return size / 2 + 1;
}

// Send time of the newest own heartbeat that a majority has acknowledged; a
// quorum of this entry alone gives the largest time point.
std::optional<time_point> member_table::majority_time() const {
    std::vector<time_point> times{time_point::max()}; // this entry itself
    for (const auto& [id, peer] : m_peers)
        if (peer.m_acknowledged)
            times.push_back(*peer.m_acknowledged);
    const std::size_t needed = quorum();
    if (times.size() < needed)
        return std::nullopt;
    std::sort(times.begin(), times.end(), std::greater<>{});
    return times[needed - 1];
}

bool member_table::has_majority(time_point now) const {
    const auto newest = majority_time();
    return newest && (*newest == time_point::max() ||
                      now - *newest <= m_timing.m_self_stop);
}

void member_table::lapse() {
    ++m_self.m_name.m_incarnation;
    m_had_majority = false;
    if (m_state == member_state::active)
        m_state = member_state::joining;
    m_sent.clear();
    for (auto& [id, peer] : m_peers)
        peer.m_acknowledged.reset();
    m_changes.push_back({member_change::kind::lapsed, m_self.m_name});
}

void member_table::paused(duration gap, time_point now) {
    lapse();
    // Silence while this process did not run is no evidence of failure, and
    // none of life.
    for (auto& [id, peer] : m_peers) {
        peer.m_silent_since = std::min(peer.m_silent_since + gap, now);
        peer.m_silent.clear();
    }
    rebuild_view(now);
}

void member_table::leave() {
    m_state = member_state::leaving;
}

// A leaving member stays in the view until it has released all its shares.
bool member_table::has_released(const member& peer) {
    return peer.m_state == member_state::leaving && peer.m_settled_hash != 0;
}

void member_table::rebuild_view(time_point now) {
    std::vector<member_name> names;
    if (!m_released)
        names.push_back(m_self.m_name);
    for (const auto& [id, peer] : m_peers)
        if (!has_released(peer))
            names.push_back(peer.m_record.m_name);
    member_view next{std::move(names)};
    if (next.hash() == m_view.hash())
        return;
    m_recent_sizes.push_back({now + m_timing.m_hold_down, m_view.size()});
    m_view = std::move(next);
    ++m_epoch;
}

void member_table::apply_record(const member_record& record, time_point now) {
    const entry_id id = record.m_name.m_id;
    if (id == m_self.m_name.m_id)
        return;
    const auto departed = m_departed.find(id);
    if (departed != m_departed.end() &&
        record.m_name.m_incarnation <= departed->second.m_incarnation)
        return;
    const auto known = m_peers.find(id);
    if (known == m_peers.end()) {
        member fresh;
        fresh.m_record = record;
        fresh.m_last_heard = now;
        fresh.m_silent_since = now;
        m_peers.emplace(id, std::move(fresh));
        m_changes.push_back({member_change::kind::joined, record.m_name});
        return;
    }
    member& peer = known->second;
    if (record.m_name.m_incarnation <= peer.m_record.m_name.m_incarnation)
        return;
    // A new incarnation of the same id: the old one has lapsed or ended.
    peer = member{};
    peer.m_record = record;
    peer.m_last_heard = now;
    peer.m_silent_since = now;
    m_changes.push_back({member_change::kind::replaced, record.m_name});
}

void member_table::record_acknowledgement(member& from,
                                          const heartbeat& message) {
    if (message.m_acknowledged_incarnation != m_self.m_name.m_incarnation)
        return;
    for (const sent_heartbeat& sent : m_sent)
        if (sent.m_sequence == message.m_acknowledged)
            from.m_acknowledged =
                std::max(from.m_acknowledged.value_or(sent.m_at), sent.m_at);
}

void member_table::received(const heartbeat& message, time_point now) {
    const member_name& name = message.m_sender.m_name;
    if (name.m_id == m_self.m_name.m_id)
        return;
    // Check for a lapse first: the acknowledgement in this heartbeat could
    // restore the majority and hide the lapse.
    if (m_had_majority && !has_majority(now))
        lapse();
    apply_record(message.m_sender, now);
    const auto found = m_peers.find(name.m_id);
    if (found == m_peers.end() || found->second.m_record.m_name != name) {
        rebuild_view(now);
        return;
    }
    member& peer = found->second;
    if (message.m_sequence < peer.m_last_sequence)
        return;
    peer.m_last_sequence = message.m_sequence;
    peer.m_record.m_contact = message.m_sender.m_contact;
    peer.m_state = message.m_state;
    peer.m_last_heard = now;
    peer.m_silent_since = now;
    peer.m_heard_directly = true;
    peer.m_view_hash = message.m_view_hash;
    peer.m_settled_hash = message.m_settled_hash;
    peer.m_config = message.m_config;
    peer.m_requests = message.m_requests;
    peer.m_silent = message.m_silent;
    record_acknowledgement(peer, message);
    if (message.m_state == member_state::active && peer.m_acknowledged)
        m_bootstrapped = true;
    for (const member_record& record : message.m_members)
        apply_record(record, now);
    rebuild_view(now);
    become_active(now);
}

void member_table::become_active(time_point now) {
    if (!has_majority(now))
        return;
    m_had_majority = true;
    m_bootstrapped = true;
    if (m_state == member_state::joining)
        m_state = member_state::active;
}

void member_table::remove(entry_id id, member_change::kind reason) {
    const auto found = m_peers.find(id);
    const member& peer = found->second;
    m_departed[id] = {peer.m_record.m_name.m_incarnation, peer.m_silent_since};
    m_changes.push_back({reason, peer.m_record.m_name});
    m_peers.erase(found);
}

bool member_table::majority_reports_silence(const member& peer,
                                            time_point now) const {
    if (peer.silence_at(now) < m_timing.m_hold_down)
        return false;
    std::size_t count = 1; // this entry itself
    for (const auto& [id, witness] : m_peers) {
        if (witness.silence_at(now) > m_timing.m_report_age)
            continue;
        for (const silence& report : witness.m_silent)
            if (report.m_name == peer.m_record.m_name &&
                report.m_age >= m_timing.m_hold_down)
                ++count;
    }
    return count >= quorum();
}

void member_table::remove_silent(time_point now) {
    std::vector<entry_id> left;
    std::vector<entry_id> gone;
    for (const auto& [id, peer] : m_peers) {
        const bool silent = peer.silence_at(now) >= m_timing.m_hold_down;
        if (peer.m_state == member_state::leaving && silent)
            left.push_back(id);
        else if (majority_reports_silence(peer, now))
            gone.push_back(id);
    }
    for (const entry_id id : left)
        remove(id, member_change::kind::left);
    for (const entry_id id : gone)
        remove(id, member_change::kind::gone);
}

void member_table::prune_history(time_point now) {
    const duration retention = m_timing.m_hold_down * departed_hold_downs;
    std::erase_if(m_departed, [&](const auto& item) {
        return now - item.second.m_silent_since > retention;
    });
    while (!m_recent_sizes.empty() && m_recent_sizes.front().m_until <= now)
        m_recent_sizes.pop_front();
    while (m_sent.size() > max_sent_heartbeats)
        m_sent.pop_front();
}

bool member_table::agreed(time_point now) const {
    if (m_state != member_state::active || !has_majority(now))
        return false;
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
        const member& peer = item.second;
        return has_released(peer) || peer.m_settled_hash == m_view.hash();
    });
}

} // namespace skylark
