// Encodes and decodes heartbeats.
#include "peer/codec.hpp"

#include <algorithm>

#include "peer/compact.hpp"
#include "peer/exposure_codec.hpp"
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

wire::member_record to_wire(const member_record& from) {
    wire::member_record out;
    out.id = to_wire(from.m_name.m_id.value());
    out.incarnation = to_wire(from.m_name.m_incarnation);
    const member_contact& contact = from.m_contact;
    out.reach.peer_ip = static_cast<std::int32_t>(contact.m_peer.m_ip);
    out.reach.peer_port = contact.m_peer.m_port;
    out.reach.callers_ip = static_cast<std::int32_t>(contact.m_callers.m_ip);
    out.reach.callers_port = contact.m_callers.m_port;
    out.reach.control_ip = static_cast<std::int32_t>(contact.m_control.m_ip);
    out.reach.control_port = contact.m_control.m_port;
    out.reach.zone = to_wire(contact.m_zone);
    out.reach.capacity = static_cast<std::int32_t>(contact.m_capacity);
    return out;
}

member_record from_wire(const wire::member_record& from) {
    member_record out;
    out.m_name.m_id = entry_id{from_wire(from.id)};
    out.m_name.m_incarnation = from_wire(from.incarnation);
    const wire::contact& contact = from.reach;
    out.m_contact.m_peer = make_address(contact.peer_ip, contact.peer_port);
    out.m_contact.m_callers =
        make_address(contact.callers_ip, contact.callers_port);
    out.m_contact.m_control =
        make_address(contact.control_ip, contact.control_port);
    out.m_contact.m_zone = from_wire(contact.zone);
    out.m_contact.m_capacity = static_cast<std::uint32_t>(contact.capacity);
    return out;
}

duration make_age(std::int64_t us) {
    return std::max(duration{0}, make_duration(us));
}

wire::silence to_wire(const silence& from) {
    wire::silence out;
    out.id = to_wire(from.m_name.m_id.value());
    out.incarnation = to_wire(from.m_name.m_incarnation);
    out.age_us = from.m_age.count();
    return out;
}

silence from_wire(const wire::silence& from) {
    return {{entry_id{from_wire(from.id)}, from_wire(from.incarnation)},
            make_age(from.age_us)};
}

wire::load_digest to_wire(const load_digest& from) {
    wire::load_digest out;
    out.upstream = to_wire(from.m_upstream.value());
    out.incarnation = to_wire(from.m_report.m_incarnation);
    out.state = static_cast<std::int32_t>(from.m_report.m_state);
    out.used = static_cast<std::int32_t>(from.m_report.m_used);
    out.slots = static_cast<std::int32_t>(from.m_report.m_slots);
    out.queue = static_cast<std::int32_t>(from.m_report.m_queue);
    out.age_us = from.m_age.count();
    return out;
}

// Decodes an unknown state as cold, so that the upstream gets less work rather
// than more.
upstream_state state_from_wire(std::int32_t value) {
    if (value == static_cast<std::int32_t>(upstream_state::warm))
        return upstream_state::warm;
    if (value == static_cast<std::int32_t>(upstream_state::draining))
        return upstream_state::draining;
    return upstream_state::cold;
}

load_digest from_wire(const wire::load_digest& from) {
    load_digest out;
    out.m_upstream = upstream_id{from_wire(from.upstream)};
    out.m_report.m_incarnation = from_wire(from.incarnation);
    out.m_report.m_state = state_from_wire(from.state);
    out.m_report.m_used = static_cast<std::uint32_t>(from.used);
    out.m_report.m_slots = static_cast<std::uint32_t>(from.slots);
    out.m_report.m_queue = static_cast<std::uint32_t>(from.queue);
    out.m_age = make_age(from.age_us);
    return out;
}

// Decodes an unknown state as joining, in which a member claims nothing.
member_state member_state_from_wire(std::int32_t value) {
    if (value == static_cast<std::int32_t>(member_state::active))
        return member_state::active;
    if (value == static_cast<std::int32_t>(member_state::leaving))
        return member_state::leaving;
    return member_state::joining;
}

wire::member_report to_wire(const member_report& from) {
    wire::member_report out;
    out.id = to_wire(from.m_name.m_id.value());
    out.incarnation = to_wire(from.m_name.m_incarnation);
    out.age_us = from.m_age.count();
    out.missed = from.m_missed;
    out.store_lost = from.m_store_lost;
    out.state = static_cast<std::int32_t>(from.m_state);
    out.revision = to_wire(from.m_revision.m_revision);
    out.era = to_wire(from.m_revision.m_era);
    out.version = to_wire(from.m_version);
    out.requests = static_cast<std::int32_t>(from.m_requests);
    out.sequence = to_wire(from.m_sequence);
    // An empty list is left out, so that without a roll-out no byte is sent.
    if (!from.m_exposures.empty())
        out.__set_exposures(to_wire(from.m_exposures));
    return out;
}

member_report from_wire(const wire::member_report& from) {
    member_report out;
    out.m_name = {entry_id{from_wire(from.id)}, from_wire(from.incarnation)};
    out.m_age = make_age(from.age_us);
    out.m_missed = from.missed;
    out.m_store_lost = from.store_lost;
    out.m_state = member_state_from_wire(from.state);
    out.m_revision = {from_wire(from.revision), from_wire(from.era)};
    out.m_version = from_wire(from.version);
    out.m_requests = static_cast<std::uint32_t>(from.requests);
    out.m_exposures = from_wire(from.exposures);
    out.m_sequence = from_wire(from.sequence);
    return out;
}

// Decodes an unknown subscription as none; the sender will ask another entry.
subscription subscription_from_wire(std::int32_t value) {
    if (value == static_cast<std::int32_t>(subscription::zone))
        return subscription::zone;
    if (value == static_cast<std::int32_t>(subscription::fleet))
        return subscription::fleet;
    return subscription::nothing;
}

wire::heartbeat to_wire(const heartbeat& from) {
    wire::heartbeat out;
    out.sender = to_wire(from.m_sender);
    out.state = static_cast<std::int32_t>(from.m_state);
    out.sequence = to_wire(from.m_sequence);
    out.acknowledged = to_wire(from.m_acknowledged);
    out.acknowledged_incarnation = to_wire(from.m_acknowledged_incarnation);
    out.view_hash = to_wire(from.m_view_hash);
    out.settled_hash = to_wire(from.m_settled_hash);
    out.config_revision = to_wire(from.m_config.m_revision.m_revision);
    out.config_era = to_wire(from.m_config.m_revision.m_era);
    out.config_version = to_wire(from.m_config.m_version);
    out.instances_index = to_wire(from.m_config.m_instances.m_revision);
    out.instances_era = to_wire(from.m_config.m_instances.m_era);
    out.confirmed_age_us = from.m_config.m_confirmed_age.count();
    out.store_lost = from.m_config.m_store_lost;
    out.requests = static_cast<std::int32_t>(from.m_requests);
    out.clock = to_wire(from.m_clock);
    for (const silence& item : from.m_silent)
        out.silent.push_back(to_wire(item));
    for (const member_record& item : from.m_members)
        out.members.push_back(to_wire(item));
    for (const load_digest& item : from.m_loads)
        out.loads.push_back(to_wire(item));
    out.wants = static_cast<std::int32_t>(from.m_wants);
    for (const member_report& item : from.m_reports)
        out.reports.push_back(to_wire(item));
    if (!from.m_exposures.empty())
        out.__set_exposures(to_wire(from.m_exposures));
    if (!from.m_exposure_sums.empty())
        out.__set_exposure_sums(to_wire(from.m_exposure_sums));
    return out;
}

heartbeat from_wire(const wire::heartbeat& from) {
    heartbeat out;
    out.m_sender = from_wire(from.sender);
    out.m_state = member_state_from_wire(from.state);
    out.m_sequence = from_wire(from.sequence);
    out.m_acknowledged = from_wire(from.acknowledged);
    out.m_acknowledged_incarnation = from_wire(from.acknowledged_incarnation);
    out.m_view_hash = from_wire(from.view_hash);
    out.m_settled_hash = from_wire(from.settled_hash);
    out.m_config.m_revision = {from_wire(from.config_revision),
                               from_wire(from.config_era)};
    out.m_config.m_version = from_wire(from.config_version);
    out.m_config.m_instances = {from_wire(from.instances_index),
                                from_wire(from.instances_era)};
    out.m_config.m_confirmed_age = make_age(from.confirmed_age_us);
    out.m_config.m_store_lost = from.store_lost;
    out.m_requests = static_cast<std::uint32_t>(from.requests);
    out.m_clock = from_wire(from.clock);
    for (const wire::silence& item : from.silent)
        out.m_silent.push_back(from_wire(item));
    for (const wire::member_record& item : from.members)
        out.m_members.push_back(from_wire(item));
    for (const wire::load_digest& item : from.loads)
        out.m_loads.push_back(from_wire(item));
    out.m_wants = subscription_from_wire(from.wants);
    for (const wire::member_report& item : from.reports)
        out.m_reports.push_back(from_wire(item));
    out.m_exposures = from_wire(from.exposures);
    out.m_exposure_sums = from_wire(from.exposure_sums);
    return out;
}

} // namespace

std::vector<std::uint8_t> encode(const heartbeat& message) {
    return serialize(to_wire(message));
}

parsed<heartbeat> decode(std::span<const std::uint8_t> bytes) {
    BOOST_OUTCOME_TRY(out, deserialize<wire::heartbeat>(bytes, "heartbeat"));
    if (out.sender.id == 0)
        return input_error{"heartbeat", "sender 0", "a member's id"};
    const auto fits = [](const wire::member_record& item) {
        return is_port(item.reach.peer_port) &&
               is_port(item.reach.callers_port) &&
               is_port(item.reach.control_port);
    };
    if (!fits(out.sender) ||
        !std::all_of(out.members.begin(), out.members.end(), fits))
        return input_error{"heartbeat", "a port out of range", "0 to 65535"};
    return from_wire(out);
}

} // namespace skylark::peer
