// Selection of the sources of transfers between peers.
#include <skylark/config/transfer_plan.hpp>

#include <algorithm>
#include <tuple>

#include <skylark/core/hash.hpp>

namespace skylark {

void transfer_plan::announced(const config_order& which,
                              const transfer_source& by, time_point now) {
    if (!m_pending_since)
        m_pending_since = now;
    if (which > m_wanted) {
        m_wanted = which;
        m_wanted_since = now;
    }
    source& from = m_sources[by.m_address];
    from.m_order = std::max(from.m_order, which);
    from.m_own_zone = by.m_own_zone;
}

void transfer_plan::referred(std::span<const transfer_source> holders) {
    if (!m_pending_since)
        return;
    for (const transfer_source& holder : holders) {
        source& from = m_sources[holder.m_address];
        from.m_order = m_wanted;
        from.m_own_zone = holder.m_own_zone;
    }
}

void transfer_plan::adopted(const config_order& in_force) {
    if (!m_pending_since)
        return;
    if (in_force >= m_wanted) {
        clear();
        return;
    }
    m_pending_since = m_wanted_since;
    m_prefers_own_zone = true;
    std::erase_if(m_sources, [&](const auto& item) {
        return item.second.m_order <= in_force && !item.second.m_last_input;
    });
}

void transfer_plan::clear() {
    m_pending_since.reset();
    m_prefers_own_zone = true;
    m_wanted = {};
    m_sources.clear();
}

// A busy source can be asked again soon, or names others in its zone.
bool transfer_plan::waits_for_own_zone(time_point now) const {
    return m_prefers_own_zone && pending_for(now) < m_timing.m_zone_patience &&
           std::any_of(m_sources.begin(), m_sources.end(),
                       [&](const auto& item) {
                           const source& from = item.second;
                           return from.m_own_zone && from.m_order >= m_wanted &&
                                  from.m_not_before > now;
                       });
}

std::optional<address> transfer_plan::next(time_point now) {
    const auto active =
        std::count_if(m_sources.begin(), m_sources.end(), [](const auto& item) {
            return item.second.m_last_input.has_value();
        });
    if (!m_pending_since || progressing(now) ||
        static_cast<std::size_t>(active) >= m_timing.m_most_transfers)
        return std::nullopt;
    // A transfer that is still active here has stalled.
    m_prefers_own_zone = m_prefers_own_zone && active == 0;
    const bool own_zone_only = waits_for_own_zone(now);
    const auto rank = [this](const auto& item) {
        const auto& [where, from] = item;
        return std::tuple{from.m_order < m_wanted,
                          m_prefers_own_zone && !from.m_own_zone,
                          from.m_transfers, rendezvous(m_self, where.key())};
    };
    auto best = m_sources.end();
    for (auto it = m_sources.begin(); it != m_sources.end(); ++it)
        if (!it->second.m_last_input && it->second.m_not_before <= now &&
            (it->second.m_own_zone || !own_zone_only) &&
            (best == m_sources.end() || rank(*it) < rank(*best)))
            best = it;
    if (best == m_sources.end())
        return std::nullopt;
    best->second.m_last_input = now;
    ++best->second.m_transfers;
    return best->first;
}

void transfer_plan::input_received(const address& from, time_point now) {
    const auto found = m_sources.find(from);
    if (found != m_sources.end() && found->second.m_last_input)
        found->second.m_last_input = now;
}

void transfer_plan::ended(const address& from, transfer_end how,
                          time_point now) {
    const auto found = m_sources.find(from);
    if (found == m_sources.end())
        return;
    found->second.m_last_input.reset();
    if (how == transfer_end::failed || how == transfer_end::unchanged)
        m_prefers_own_zone = false;
    if (how != transfer_end::delivered)
        found->second.m_not_before =
            now + (how == transfer_end::failed ? m_timing.m_failure_delay
                                               : m_timing.m_busy_delay);
}

bool transfer_plan::overdue(time_point now) const {
    if (!m_pending_since)
        return false;
    const duration waited = now - *m_pending_since;
    return waited > m_timing.m_store_delay_in_progress ||
           (waited > m_timing.m_store_delay && !progressing(now));
}

bool transfer_plan::progressing(time_point now) const {
    return std::any_of(
        m_sources.begin(), m_sources.end(), [&](const auto& item) {
            const auto& input = item.second.m_last_input;
            return input && now - *input <= m_timing.m_stall_limit;
        });
}

} // namespace skylark
