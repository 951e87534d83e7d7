// Upstreams from the configuration document and the instance list.
#include "entry/upstream_table.hpp"

#include <algorithm>
#include <tuple>

#include <skylark/core/hash.hpp>

#include "io/event_loop.hpp"

namespace skylark::entry {

upstream_id id_of(const instance& from) {
    const std::uint64_t incarnation =
        rendezvous(hash(from.m_id), from.m_incarnation);
    return upstream_id{rendezvous(incarnation, from.m_address.key())};
}

std::vector<upstream> upstream_table::adopt(const document& config,
                                            const instance_list& list) {
    for (auto& [key, item] : m_upstreams)
        item.m_listed = false;
    const std::optional<time_point> joined =
        m_upstreams.empty() ? std::nullopt
                            : std::optional{io::event_loop::now()};
    for (const instance& from : list.m_instances)
        if (from.m_role == instance_role::upstream)
            update(from, config, joined);
    std::vector<upstream> removed;
    const time_point now = io::event_loop::now();
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        const bool unused =
            it->second.m_load.in_flight() == 0 &&
            it->second.m_connections == it->second.m_idle.size();
        if (it->second.m_listed || !unused) {
            ++it;
            continue;
        }
        if (!it->second.m_availability.usable(now))
            m_unlisted.add(it->first, it->second.m_availability);
        removed.push_back(std::move(it->second));
        it = m_upstreams.erase(it);
    }
    order_services();
    return removed;
}

void upstream_table::update(const instance& from, const document& config,
                            std::optional<time_point> joined) {
    const upstream_id key = id_of(from);
    const auto [position, added] = m_upstreams.try_emplace(key);
    upstream& item = position->second;
    if (added) {
        item.m_joined = joined;
        item.m_availability = m_unlisted.take(key);
    }
    item.m_id = key;
    item.m_instance = from.m_id;
    if (from.m_cold_until > item.m_listed_cold_until) {
        item.m_listed_cold_until = from.m_cold_until;
        item.m_cold_until = std::max(item.m_cold_until, from.m_cold_until);
    }
    item.m_address = from.m_address;
    item.m_service = from.m_service;
    item.m_zone = from.m_zone;
    item.m_version = from.m_version;
    item.m_leaving = from.m_leaving;
    item.m_listed = true;
    item.m_gone_from = from.m_gone_from;
    const zone* declared = config.find_zone(from.m_zone);
    const bool active =
        declared != nullptr && declared->m_state == zone_state::active;
    // Upstreams of a reactivated zone count as cold until their next report,
    // so that shares limit their ramp-up.
    if (active && !item.m_zone_active)
        item.m_load.discard_report();
    item.m_zone_active = active;
}

// Own zone first, then by rendezvous score, so that the orders of different
// entries rarely agree.
void upstream_table::order_services() {
    m_services.clear();
    for (const auto& [key, item] : m_upstreams)
        m_services[item.m_service].push_back(key);
    for (auto& [name, keys] : m_services) {
        const auto rank = [&](upstream_id key) {
            const upstream& item = m_upstreams.at(key);
            const std::uint64_t score = rendezvous(key.value(), m_self.value());
            return std::tuple{item.m_zone != m_zone, ~score};
        };
        std::sort(keys.begin(), keys.end(),
                  [&](upstream_id left, upstream_id right) {
                      return rank(left) < rank(right);
                  });
        for (std::size_t i = 0; i < keys.size(); ++i)
            m_upstreams.at(keys[i]).m_preference =
                static_cast<std::uint32_t>(i);
    }
}

upstream* upstream_table::find(upstream_id key) {
    const auto found = m_upstreams.find(key);
    return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::vector<upstream_id>&
upstream_table::of_service(std::string_view name) const {
    static const std::vector<upstream_id> none;
    const auto found = m_services.find(name);
    return found == m_services.end() ? none : found->second;
}

} // namespace skylark::entry
