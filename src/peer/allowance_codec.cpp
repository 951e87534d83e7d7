// Encodes and decodes messages about tokens of rate limits.
#include "peer/allowance_codec.hpp"

#include <algorithm>

#include "peer/compact.hpp"
#include "peer/gen/peer_types.h"

namespace skylark::peer {

namespace {

using internal::deserialize;
using internal::from_wire;
using internal::make_duration;
using internal::serialize;
using internal::to_wire;

// Type of the first field, i32, with a number too large for the short form.
constexpr std::uint8_t first_byte = 0x05;
// An entry never has more requests at hand.
constexpr std::int32_t most_tokens = 100'000;

std::uint32_t count_from_wire(std::int32_t value) {
    return static_cast<std::uint32_t>(std::clamp(value, 0, most_tokens));
}

std::int32_t count_to_wire(std::uint32_t value) {
    return static_cast<std::int32_t>(
        std::min<std::uint32_t>(value, most_tokens));
}

duration delay_from_wire(std::int64_t us) {
    return std::clamp<duration>(make_duration(us), duration{0}, seconds{10});
}

} // namespace

std::vector<std::uint8_t> encode(const allowance_message& message) {
    wire::allowance out;
    out.kind = static_cast<std::int32_t>(message.m_kind);
    out.team = to_wire(message.m_team);
    out.sender = to_wire(message.m_from.value());
    out.sequence = to_wire(message.m_sequence);
    if (message.m_count > 0)
        out.__set_count(count_to_wire(message.m_count));
    if (message.m_ahead > 0)
        out.__set_ahead(count_to_wire(message.m_ahead));
    if (message.m_returned > 0)
        out.__set_returned(count_to_wire(message.m_returned));
    if (message.m_owner_silent)
        out.__set_owner_silent(true);
    if (message.m_alone)
        out.__set_alone(true);
    if (message.m_yielded)
        out.__set_yielded(true);
    if (message.m_vouched)
        out.__set_vouched(true);
    if (message.m_owner)
        out.__set_owner(to_wire(message.m_owner.value()));
    if (message.m_room_in > duration{0})
        out.__set_room_in_us(message.m_room_in.count());
    if (message.m_quiet > duration{0})
        out.__set_quiet_us(message.m_quiet.count());
    return serialize(out);
}

bool is_allowance(std::span<const std::uint8_t> bytes) {
    return !bytes.empty() && bytes.front() == first_byte;
}

parsed<allowance_message>
decode_allowance(std::span<const std::uint8_t> bytes) {
    BOOST_OUTCOME_TRY(from, deserialize<wire::allowance>(bytes, "allowance"));
    constexpr auto last = static_cast<int>(allowance_kind::yield_reply);
    if (from.kind < 0 || from.kind > last)
        return input_error{"allowance", "kind " + std::to_string(from.kind),
                           "0 to " + std::to_string(last)};
    if (from.sender == 0)
        return input_error{"allowance", "sender 0", "a member's id"};
    allowance_message out;
    out.m_kind = static_cast<allowance_kind>(from.kind);
    out.m_team = from_wire(from.team);
    out.m_from = entry_id{from_wire(from.sender)};
    out.m_sequence = from_wire(from.sequence);
    out.m_count = count_from_wire(from.count);
    out.m_ahead = count_from_wire(from.ahead);
    out.m_returned = count_from_wire(from.returned);
    out.m_owner_silent = from.owner_silent;
    out.m_alone = from.alone;
    out.m_yielded = from.yielded;
    out.m_vouched = from.vouched;
    out.m_owner = entry_id{from_wire(from.owner)};
    out.m_room_in = delay_from_wire(from.room_in_us);
    out.m_quiet = delay_from_wire(from.quiet_us);
    return out;
}

} // namespace skylark::peer
