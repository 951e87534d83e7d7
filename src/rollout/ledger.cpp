// Ledger: the newest exposure of each entry, and their sum.
#include <skylark/rollout/ledger.hpp>

#include <utility>

namespace skylark {

void exposure_ledger::report(const reporter& from, const exposure& what) {
    const auto [found, added] = m_reports.try_emplace(from, what);
    if (!added && what.m_sequence <= found->second.m_sequence)
        return;
    found->second = what;
    m_stale = true;
}

const exposure* exposure_ledger::find(const reporter& from) const {
    const auto found = m_reports.find(from);
    return found == m_reports.end() ? nullptr : &found->second;
}

const exposure& exposure_ledger::total() {
    if (!std::exchange(m_stale, false))
        return m_total;
    m_total = {};
    for (const auto& [name, item] : m_reports)
        add(m_total, item);
    raise(m_total, m_reported_sum);
    return m_total;
}

} // namespace skylark
