// Selection of the sources of transfers between peers.
#include <skylark/config/transfer_plan.hpp>

#include <algorithm>
#include <tuple>

#include <skylark/core/hash.hpp>

namespace skylark {

void transfer_plan::announced(const config_order& which, const address& by,
                              time_point now) {
    if (!m_pending_since)
        m_pending_since = now;
    if (which > m_wanted) {
        m_wanted = which;
        m_wanted_since = now;
    }
    source& from = m_sources[by];
    from.m_order = std::max(from.m_order, which);
}

void transfer_plan::referred(std::span<const address> holders) {
    if (!m_pending_since)
        return;
    for (const address& holder : holders)
        m_sources[holder].m_order = m_wanted;
}

void transfer_plan::adopted(const config_order& in_force) {
    if (!m_pending_since)
        return;
    if (in_force >= m_wanted) {
        clear();
        return;
    }
    m_pending_since = m_wanted_since;
    std::erase_if(m_sources, [&](const auto& item) {
        return item.second.m_order <= in_force && !item.second.m_last_input;
    });
}

void transfer_plan::clear() {
    m_pending_since.reset();
    m_wanted = {};
    m_sources.clear();
}

std::optional<address> transfer_plan::next(time_point now) {
    const auto active =
        std::count_if(m_sources.begin(), m_sources.end(), [](const auto& item) {
            return item.second.m_last_input.has_value();
        });
    if (!m_pending_since || progressing(now) ||
        static_cast<std::size_t>(active) >= m_timing.m_most_transfers)
        return std::nullopt;
    const auto rank = [this](const auto& item) {
        const auto& [where, from] = item;
        return std::tuple{from.m_order < m_wanted, from.m_transfers,
                          rendezvous(m_self, where.key())};
    };
    auto best = m_sources.end();
    for (auto it = m_sources.begin(); it != m_sources.end(); ++it)
        if (!it->second.m_last_input && it->second.m_not_before <= now &&
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
