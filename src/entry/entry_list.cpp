// Lookup of the entry addresses that callers may use.
#include "entry/entry_list.hpp"
#include "io/http_status.hpp"

#include <algorithm>
#include <array>
#include <tuple>

#include <skylark/core/hash.hpp>

namespace skylark::entry {

namespace {

struct listed_entry {
    address m_address;
    std::string m_zone;
    std::uint32_t m_requests;
    //! Tie-break; differs between entries, for even load.
    std::uint64_t m_order;
};

// Member records hold the hash of the zone name. Returns an empty string if the
// document declares no such zone.
std::string zone_name(const document& config, std::uint64_t zone_hash) {
    for (const zone& item : config.m_zones)
        if (hash(item.m_name) == zone_hash)
            return item.m_name;
    return {};
}

bool zone_drained(const document& config, std::uint64_t zone_hash) {
    const zone* found = config.find_zone(zone_name(config, zone_hash));
    return found && found->m_state == zone_state::drained;
}

void add(std::vector<listed_entry>& out, const context& shared,
         const member_record& of, std::uint32_t requests) {
    const document& config = shared.m_config.current();
    const member_contact& contact = of.m_contact;
    // In the platform deployment a drained zone applies to its upstreams only,
    // not to its entries.
    if (shared.m_settings.m_deployment == deployment::native &&
        zone_drained(config, contact.m_zone))
        return;
    const std::uint64_t order =
        rendezvous(shared.m_fleet.self().value(), of.m_name.m_id.value());
    out.push_back({contact.m_callers, zone_name(config, contact.m_zone),
                   requests, order});
}

// In the platform deployment entries use no shares, so that one can serve
// requests before it is an active member.
bool can_serve(const context& shared, member_state state) {
    if (shared.m_settings.m_deployment == deployment::native)
        return state == member_state::active;
    return state != member_state::leaving;
}

std::vector<listed_entry> collect(const context& shared) {
    std::vector<listed_entry> out;
    const fleet& members = shared.m_fleet;
    const bool self_ready =
        !shared.m_drain && !shared.m_isolated && shared.m_config.ready();
    if (self_ready && can_serve(shared, members.state()))
        add(out, shared, members.self_record(), members.requests());
    const time_point now = io::event_loop::now();
    for (const auto& [id, peer] : members.peers())
        if (can_serve(shared, peer.m_state) &&
            peer.m_config.m_revision.known() && members.live(peer, now))
            add(out, shared, peer.m_record, peer.m_requests);
    return out;
}

// Lists all known entries rather than none: entries that disagree about the
// membership must not leave callers without an address.
void fill_if_empty(std::vector<listed_entry>& out, const context& shared) {
    if (!out.empty())
        return;
    const fleet& members = shared.m_fleet;
    out.push_back({members.self_record().m_contact.m_callers,
                   shared.m_settings.m_zone, 0, 0});
    for (const auto& [id, peer] : members.peers())
        out.push_back({peer.m_record.m_contact.m_callers, {}, 0, id.value()});
}

} // namespace

std::optional<address> other_entry(const context& shared,
                                   random_source& random) {
    const auto list = collect(shared);
    if (list.empty())
        return std::nullopt;
    return list[random(static_cast<std::uint32_t>(list.size()))].m_address;
}

std::vector<caller_address> list_entries(const context& shared,
                                         std::string_view preferred_zone) {
    auto list = collect(shared);
    fill_if_empty(list, shared);
    const auto rank = [&](const listed_entry& of) {
        // Entries within the same step of requests rank as equally loaded.
        constexpr std::uint32_t request_step = 16;
        return std::tuple{of.m_zone != preferred_zone,
                          of.m_requests / request_step, of.m_order};
    };
    std::sort(list.begin(), list.end(),
              [&](const auto& left, const auto& right) {
                  return rank(left) < rank(right);
              });
    std::vector<caller_address> out;
    out.reserve(list.size());
    for (const listed_entry& item : list)
        out.push_back({item.m_address, item.m_zone});
    return out;
}

bool answer_lookup(const context& shared, io::http_server& server,
                   exchange_id key, std::string_view path) {
    return std::visit(
        [&](const auto& kind) {
            const auto zone = kind.lookup_zone(path);
            if (!zone)
                return false;
            const std::array headers{
                io::header{"Content-Type", "application/json"}};
            server.answer(key, io::status::ok, headers,
                          kind.lookup_body(list_entries(shared, *zone),
                                           shared.m_settings.m_entries_ttl));
            return true;
        },
        shared.m_dialect);
}

} // namespace skylark::entry
