// Encodes and decodes changes of the instance list.
#include <algorithm>

#include "peer/codec.hpp"
#include "peer/compact.hpp"
#include "peer/gen/peer_types.h"

namespace skylark::peer {

namespace {

using internal::deserialize;
using internal::from_wire;
using internal::is_port;
using internal::make_address;
using internal::make_duration;
using internal::serialize;
using internal::to_wire;

instance_role role_from_wire(std::int32_t value) {
    return value == static_cast<std::int32_t>(instance_role::entry)
               ? instance_role::entry
               : instance_role::upstream;
}

wire::instance to_wire(const instance& from, time_point now) {
    wire::instance out;
    out.id = from.m_id;
    out.role = static_cast<std::int32_t>(from.m_role);
    out.ip = static_cast<std::int32_t>(from.m_address.m_ip);
    out.port = from.m_address.m_port;
    out.serves = from.m_service;
    out.zone = from.m_zone;
    if (!from.m_version.empty())
        out.__set_version(from.m_version);
    out.leaving = from.m_leaving;
    out.incarnation = to_wire(from.m_incarnation);
    out.sequence = to_wire(from.m_sequence);
    out.cold_us = std::max(duration{0}, from.m_cold_until - now).count();
    if (from.m_gone_from)
        out.__set_gone_in_us((*from.m_gone_from - now).count());
    return out;
}

instance from_wire(const wire::instance& from, time_point now) {
    instance out;
    out.m_id = from.id;
    out.m_role = role_from_wire(from.role);
    out.m_address = make_address(from.ip, from.port);
    out.m_service = from.serves;
    out.m_zone = from.zone;
    out.m_version = from.version;
    out.m_leaving = from.leaving;
    out.m_incarnation = from_wire(from.incarnation);
    out.m_sequence = from_wire(from.sequence);
    if (from.cold_us > 0)
        out.m_cold_until = now + make_duration(from.cold_us);
    if (from.__isset.gone_in_us)
        out.m_gone_from = now + make_duration(from.gone_in_us);
    return out;
}

} // namespace

std::vector<std::uint8_t> encode(const instance_changes& changes,
                                 time_point now) {
    wire::instance_changes out;
    out.base = to_wire(changes.m_base.m_revision);
    out.base_era = to_wire(changes.m_base.m_era);
    out.index = to_wire(changes.m_index.m_revision);
    out.index_era = to_wire(changes.m_index.m_era);
    for (const instance& item : changes.m_present)
        out.present.push_back(to_wire(item, now));
    for (const auto& [role, id] : changes.m_removed) {
        out.removed.emplace_back();
        out.removed.back().role = static_cast<std::int32_t>(role);
        out.removed.back().id = id;
    }
    return serialize(out);
}

parsed<instance_changes> decode_changes(std::span<const std::uint8_t> bytes,
                                        time_point now) {
    BOOST_OUTCOME_TRY(
        from, deserialize<wire::instance_changes>(bytes, "instance list"));
    instance_changes out;
    out.m_base = {from_wire(from.base), from_wire(from.base_era)};
    out.m_index = {from_wire(from.index), from_wire(from.index_era)};
    if (!out.m_index.known())
        return input_error{"instance list", "index 0", "the list's index"};
    for (const wire::instance& item : from.present) {
        if (!is_port(item.port))
            return input_error{"instance list, port", std::to_string(item.port),
                               "0 to 65535"};
        out.m_present.push_back(from_wire(item, now));
    }
    for (const wire::instance_name& item : from.removed)
        out.m_removed.emplace_back(role_from_wire(item.role), item.id);
    return out;
}

} // namespace skylark::peer
