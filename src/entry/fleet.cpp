// Membership and shares of this entry: the protocol on its UDP socket.
#include "entry/fleet.hpp"

#include <utility>

#include <skylark/core/hash.hpp>

#include "peer/codec.hpp"

namespace skylark::entry {

namespace {

member_record record_of(const settings& from) {
    member_record out;
    out.m_name = {id_of(from.m_name), journal::wall_ms()};
    out.m_contact = {from.m_peer, from.m_callers, from.m_control,
                     hash(from.m_zone)};
    return out;
}

std::string_view word_for(member_change::kind kind) {
    switch (kind) {
    case member_change::kind::joined:
        return "joined";
    case member_change::kind::left:
        return "left";
    case member_change::kind::gone:
        return "gone by majority";
    case member_change::kind::replaced:
        return "new incarnation";
    case member_change::kind::lapsed:
        break;
    }
    return "majority lost, shares dropped";
}

} // namespace

entry_id id_of(std::string_view name) {
    return entry_id{hash(name)};
}

fleet::fleet(io::event_loop& loop, const settings& from, journal& events,
             metrics& counts)
    : m_loop{loop}, m_settings{from}, m_events{events}, m_counts{counts},
      m_socket{loop}, m_members{record_of(from), from.m_seeds, from.m_timing,
                                io::event_loop::now()},
      m_shares{id_of(from.m_name)} {}

parsed<void> fleet::start(fleet_hooks hooks) {
    m_hooks = std::move(hooks);
    BOOST_OUTCOME_TRYV(m_socket.bind(
        m_settings.m_peer,
        [this](address, io::udp_socket::bytes bytes) { receive(bytes); }));
    beat();
    m_loop.every(m_settings.m_timing.m_period, [this] { beat(); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void fleet::beat() {
    const time_point now = io::event_loop::now();
    const bool settled = m_hooks.m_settled();
    auto round = m_members.tick(now, settled, m_hooks.m_mark());
    follow_view();
    const auto loads = m_hooks.m_digests();
    const std::uint64_t stamp = m_events.stamp();
    for (outgoing_heartbeat& out : round) {
        out.m_message.m_loads = loads;
        out.m_message.m_clock = stamp;
        const auto bytes = peer::encode(out.m_message);
        m_socket.send(out.m_to, bytes);
        m_counts.count(counter::heartbeats_sent);
        m_counts.count(counter::heartbeat_bytes_sent, bytes.size());
    }
}

void fleet::receive(std::span<const std::uint8_t> bytes) {
    const auto message = peer::decode(bytes);
    if (!message) {
        m_counts.count(counter::bad_datagrams);
        return;
    }
    m_counts.count(counter::heartbeats_received);
    m_counts.count(counter::heartbeat_bytes_received, bytes.size());
    m_events.seen(message.value().m_clock);
    m_members.received(message.value(), io::event_loop::now());
    follow_view();
    for (const load_digest& digest : message.value().m_loads)
        m_hooks.m_digest(digest);
    const auto& peers = m_members.peers();
    const auto found = peers.find(message.value().m_sender.m_name.m_id);
    if (found != peers.end())
        m_hooks.m_peer_mark(found->second);
}

// Keeps the share table in step with the member table.
void fleet::follow_view() {
    note_changes();
    const time_point now = io::event_loop::now();
    if (m_seen_epoch != m_members.epoch()) {
        m_seen_epoch = m_members.epoch();
        m_shares.view_changed(m_members.view());
    }
    const bool agreed = !m_leaving && m_members.agreed(now);
    if (agreed)
        m_shares.view_agreed();
    if (agreed == m_agreed)
        return;
    m_agreed = agreed;
    m_events.note(event_kind::share,
                  "view of " + std::to_string(m_members.view().size()),
                  agreed ? "agreed" : "not agreed");
    m_hooks.m_changed();
}

void fleet::note_changes() {
    for (const member_change& change : m_members.take_changes()) {
        if (change.m_kind == member_change::kind::lapsed)
            m_shares.lapsed();
        m_events.note(event_kind::member,
                      std::to_string(change.m_name.m_id.value()),
                      std::string{word_for(change.m_kind)});
    }
}

std::uint32_t fleet::usable(upstream_id upstream, share_kind kind,
                            std::uint32_t slots) const {
    if (m_leaving || !m_members.has_majority(io::event_loop::now()))
        return 0;
    return m_shares.usable(upstream, kind, slots);
}

bool fleet::has_majority() const {
    return m_members.has_majority(io::event_loop::now());
}

void fleet::paused() {
    m_members.paused(io::event_loop::now());
    follow_view();
}

void fleet::leave() {
    m_leaving = true;
    m_members.leave();
    beat();
}

} // namespace skylark::entry
