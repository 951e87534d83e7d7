// Roster: selection of relays, and the heartbeats of a round.
#include <skylark/member/roster.hpp>

#include <algorithm>
#include <tuple>

#include <skylark/core/hash.hpp>
#include <skylark/member/view.hpp>

namespace skylark {

namespace {

// A subscription remains valid for this many rounds without renewal.
constexpr int subscriber_rounds = 5;
// A member that was referred to its relays hears from them within this many
// rounds.
constexpr int referral_rounds = 3;

// Gives the same order in every process.
std::uint64_t relay_score(entry_id of) {
    static const std::uint64_t key = hash("relay");
    return rendezvous(key, of.value());
}

} // namespace

std::vector<entry_id> roster::relays_of(std::uint64_t zone, std::size_t count,
                                        time_point now) const {
    return ranked(zone, count, ranked_role::relay, now);
}

std::vector<entry_id> roster::watchers_of(std::uint64_t zone, std::size_t count,
                                          time_point now) const {
    return ranked(zone, count, ranked_role::watch, now);
}

bool roster::is_first(time_point now) const {
    const auto rank = [](bool store_lost, const member_record& of) {
        return std::tuple{store_lost, ~of.m_contact.m_capacity,
                          ~relay_score(of.m_name.m_id)};
    };
    const auto own = rank(m_store_lost, m_self);
    return m_state != member_state::leaving &&
           std::none_of(m_peers.begin(), m_peers.end(), [&](const auto& item) {
               const member& peer = item.second;
               return live(peer, now) &&
                      peer.m_state != member_state::leaving &&
                      rank(peer.m_config.m_store_lost, peer.m_record) < own;
           });
}

std::vector<entry_id> roster::ranked(std::uint64_t zone, std::size_t count,
                                     ranked_role wanted, time_point now) const {
    // Relaying takes processor time, so members of higher capacity come first
    // among those that are available.
    std::vector<
        std::tuple<bool, bool, bool, std::uint32_t, std::uint64_t, entry_id>>
        order;
    const bool watch = wanted == ranked_role::watch;
    const entry_id own = m_self.m_name.m_id;
    if (m_self.m_contact.m_zone == zone && m_state != member_state::leaving)
        order.emplace_back(false, false, watch && m_store_lost,
                           ~m_self.m_contact.m_capacity, ~relay_score(own),
                           own);
    for (const auto& [id, peer] : m_peers)
        if (peer.m_record.m_contact.m_zone == zone &&
            peer.m_state != member_state::leaving)
            order.emplace_back(avoided(id, now), !live(peer, now),
                               watch && peer.m_config.m_store_lost,
                               ~peer.m_record.m_contact.m_capacity,
                               ~relay_score(id), id);
    count = std::min(count, order.size());
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end());
    std::vector<entry_id> out;
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(std::get<entry_id>(order[i]));
    return out;
}

void roster::choose_relays(time_point now) {
    m_relays.clear();
    const entry_id own = m_self.m_name.m_id;
    const std::uint64_t own_zone = m_self.m_contact.m_zone;
    const auto own_relays =
        relays_of(own_zone, m_timing.m_relays_per_zone, now);
    m_is_relay = std::find(own_relays.begin(), own_relays.end(), own) !=
                 own_relays.end();
    for (const entry_id id : own_relays)
        if (id != own)
            m_relays[id] = subscription::fleet;
    if (m_is_relay)
        for (const std::uint64_t zone : other_zones())
            for (const entry_id id : relays_of(zone, 1, now))
                m_relays[id] = subscription::zone;
    for (const auto& [id, wanted] : m_relays) {
        link_state& to = m_links[id];
        if (!to.m_unanswered_since)
            to.m_unanswered_since = now;
        else if (now - *to.m_unanswered_since > m_timing.m_relay_timeout) {
            to.m_unanswered_since.reset();
            to.m_avoid_until = now + m_timing.m_relay_retry_delay;
        }
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

member_report roster::report_on(const member& peer, time_point now) const {
    return {peer.m_record.m_name,
            now - peer.m_last_heard,
            m_links.at(peer.m_record.m_name.m_id).m_missed,
            peer.m_state,
            peer.m_config.m_revision,
            peer.m_requests,
            peer.m_config.m_store_lost,
            peer.m_config.m_version,
            {},
            peer.m_last_sequence};
}

// A member that subscribes to one that is not its relay has usually just
// started. It gets a referral, from which it finds its own relays. A member of
// the same zone that continues to subscribe cannot contact its relays, so it
// gets full reports.
bool roster::needs_referral(const member& peer, const link_state& to,
                            time_point now) const {
    if (to.m_wants != subscription::fleet)
        return false;
    const bool own_zone =
        peer.m_record.m_contact.m_zone == m_self.m_contact.m_zone;
    return !own_zone ||
           (!m_is_relay &&
            now - to.m_subscribed_since <= referral_rounds * m_timing.m_period);
}

// Adds the relays of each zone.
void roster::add_referral(heartbeat& out, time_point now) const {
    std::set<std::uint64_t> zones = other_zones();
    zones.insert(m_self.m_contact.m_zone);
    for (const std::uint64_t zone : zones)
        for (const entry_id id :
             relays_of(zone, m_timing.m_relays_per_zone, now)) {
            const auto found = m_peers.find(id);
            if (found == m_peers.end())
                continue; // this entry itself
            out.m_reports.push_back(report_on(found->second, now));
            out.m_members.push_back(found->second.m_record);
        }
}

// Protocol invariant: a subscriber's view hash covers the scope that it
// subscribes to, and the relay compares it with its own hash of that scope.
heartbeat roster::message_for(const receiver_group& group,
                              const config_mark& mark, time_point now) const {
    heartbeat out;
    out.m_sender = m_self;
    out.m_state = m_state;
    out.m_sequence = m_sequence;
    out.m_config = mark;
    out.m_requests = m_requests;
    out.m_wants = group.m_wanted;
    if (group.m_wanted != subscription::nothing)
        out.m_view_hash = hash_of(group.m_wanted, group.m_zone);
    if (group.m_reports == subscription::nothing)
        return out;
    if (group.m_referral) {
        add_referral(out, now);
        return out;
    }
    for (const auto& [id, peer] : m_peers) {
        if (group.m_reports == subscription::zone &&
            peer.m_record.m_contact.m_zone != m_self.m_contact.m_zone)
            continue;
        out.m_reports.push_back(report_on(peer, now));
        if (group.m_records)
            out.m_members.push_back(peer.m_record);
    }
    return out;
}

std::optional<outgoing_heartbeat>
roster::config_announcement(const heartbeat& from, const config_mark& mark) {
    const bool has_none = !from.m_config.m_revision.known();
    if (!has_none || !mark.m_revision.known() ||
        from.m_sender.m_name.m_id == m_self.m_name.m_id)
        return std::nullopt;
    ++m_sequence;
    // The message has no reports, so the time is not used.
    return outgoing_heartbeat{{from.m_sender.m_contact.m_peer},
                              message_for({}, mark, {})};
}

bool roster::is_subscribed(const link_state& from, time_point now) const {
    return from.m_last_subscribed && now - *from.m_last_subscribed <=
                                         subscriber_rounds * m_timing.m_period;
}

outgoing_heartbeat roster::change_announcement(const config_mark& mark,
                                               time_point now) {
    ++m_sequence;
    outgoing_heartbeat out{{}, message_for({}, mark, now)};
    for (const auto& [id, peer] : m_peers)
        if (m_relays.contains(id) || is_subscribed(m_links.at(id), now))
            out.m_to.push_back(peer.m_record.m_contact.m_peer);
    return out;
}

// New members are discovered at the seeds and the addresses that the platform
// lists. Only relays do this; a member that knows no relay considers itself
// one.
std::vector<address> roster::next_discovery_targets() {
    std::set<address> unknown = m_listed;
    unknown.insert(m_seeds.begin(), m_seeds.end());
    for (const auto& [id, peer] : m_peers)
        unknown.erase(peer.m_record.m_contact.m_peer);
    auto next = unknown.upper_bound(m_discovery_cursor);
    std::vector<address> out;
    while (out.size() < std::min(unknown.size(), m_timing.m_discovery_batch)) {
        if (next == unknown.end())
            next = unknown.begin();
        m_discovery_cursor = *next++;
        out.push_back(m_discovery_cursor);
    }
    return out;
}

std::vector<outgoing_heartbeat> roster::tick(time_point now,
                                             const config_mark& mark) {
    ++m_round;
    ++m_sequence;
    m_changed = m_changed || m_store_lost != mark.m_store_lost;
    m_store_lost = mark.m_store_lost;
    remove_expired(now);
    mark_missed(now);
    choose_relays(now);
    m_live_count =
        1 + static_cast<std::size_t>(std::count_if(
                m_peers.begin(), m_peers.end(),
                [&](const auto& item) { return live(item.second, now); }));
    const bool reports_due = std::exchange(m_changed, false) ||
                             m_round % m_timing.m_report_rounds == 0;
    // Most receivers get the same message, which is then encoded only once.
    std::map<receiver_group, std::vector<address>> groups;
    const std::uint64_t fleet_hash = hash_of(subscription::fleet, 0);
    const std::uint64_t zone_hash =
        hash_of(subscription::zone, m_self.m_contact.m_zone);
    for (const auto& [id, peer] : m_peers) {
        const link_state& to = m_links.at(id);
        const auto wanted = m_relays.find(id);
        const bool subscribed = is_subscribed(to, now);
        if (wanted == m_relays.end() && !subscribed)
            continue;
        const member_contact& contact = peer.m_record.m_contact;
        receiver_group group;
        if (wanted != m_relays.end()) {
            group.m_wanted = wanted->second;
            group.m_zone = contact.m_zone;
        }
        if (subscribed && reports_due) {
            group.m_referral = needs_referral(peer, to, now);
            // A referral is sent only for a subscription from the last round,
            // as a referred member stops subscribing here.
            if (!group.m_referral ||
                now - *to.m_last_subscribed <= m_timing.m_period)
                group.m_reports = to.m_wants;
            group.m_records =
                !group.m_referral &&
                to.m_view_hash != (to.m_wants == subscription::fleet
                                       ? fleet_hash
                                       : zone_hash);
        }
        groups[group].push_back(contact.m_peer);
    }
    if (m_is_relay)
        for (const address& unknown : next_discovery_targets())
            groups[{subscription::fleet}].push_back(unknown);
    std::vector<outgoing_heartbeat> out;
    out.reserve(groups.size());
    for (auto& [group, to] : groups)
        out.push_back(
            {std::move(to), message_for(group, mark, now), group.m_reports});
    return out;
}

} // namespace skylark
