// Messages about tokens of rate limits on the fleet's socket, and the members
// that may lend them.
#include "entry/fleet.hpp"
#include "peer/allowance_codec.hpp"

namespace skylark::entry {

namespace {
// An entry that was silent for longer is not named to callers, long before a
// majority can remove it from the view.
constexpr int missed_heartbeats = 3;
} // namespace

void fleet::send_tokens(const outgoing_allowance& item) {
    const auto known = peers().find(item.m_to);
    if (known == peers().end())
        return;
    m_socket.send(known->second.m_record.m_contact.m_peer,
                  peer::encode(item.m_message));
    m_counts.count(counter::allowance_messages);
}

bool fleet::receive_tokens(std::span<const std::uint8_t> bytes) {
    if (!peer::is_allowance(bytes))
        return false;
    const auto message = peer::decode_allowance(bytes);
    if (!message)
        m_counts.count(counter::bad_datagrams);
    else if (m_hooks.m_tokens)
        m_hooks.m_tokens(message.value());
    return true;
}

bool fleet::live(const member& peer, time_point now) const {
    const auto* of = std::get_if<roster>(&m_members);
    return of ? of->live(peer, now)
              : peer.silence_at(now) <=
                    missed_heartbeats * m_settings.m_timing.m_period;
}

std::vector<entry_id> fleet::live_members(time_point now) const {
    std::vector<entry_id> out;
    if (!m_leaving)
        out.push_back(self());
    for (const auto& [key, peer] : peers())
        if (peer.m_state != member_state::leaving && live(peer, now))
            out.push_back(key);
    return out;
}

} // namespace skylark::entry
