// What is known of upstreams from before the store was restored from a copy.
#include <skylark/discovery/instance_memory.hpp>

#include <set>
#include <tuple>

namespace skylark {

namespace {

// Most removed upstreams on record; above this all are forgotten.
constexpr std::size_t max_removed = 2000;
// Upstreams that are gone miss several reports before their records expire.
constexpr int comparison_factor = 5;

auto order_of(const instance& of) {
    return std::tie(of.m_incarnation, of.m_sequence);
}

} // namespace

bool instance_memory::reconcile(instance_list& list, time_point now) {
    const bool restored = list.m_index.m_era > m_era;
    m_corrected = restored && !m_known.empty();
    if (restored) {
        m_era = list.m_index.m_era;
        m_rewrite_end = now + m_rewrite_time;
        m_comparison_end = now + comparison_factor * m_rewrite_time;
    }
    std::erase_if(list.m_instances, [&](instance& item) {
        return item.m_role == instance_role::upstream && !correct(item, now);
    });
    keep_missing(list, now);
    bound_removed();
    return m_corrected;
}

// Returns whether the offered record names an upstream that may exist.
bool instance_memory::correct(instance& offered, time_point now) {
    const auto due = offered.m_gone_from;
    if (due && *due <= now) {
        m_corrected = true;
        return false;
    }
    const auto [found, added] =
        m_known.try_emplace(offered.m_id, known{offered, m_era, m_era, false});
    known& before = found->second;
    const bool comparable =
        !added && before.m_era < m_era && now < m_comparison_end;
    const bool is_new =
        !comparable || order_of(offered) > order_of(before.m_last);
    if (!is_new && before.m_removed) {
        m_corrected = true;
        return false;
    }
    if (is_new) {
        before = {offered, m_era, m_era, false};
        before.m_last.m_gone_from.reset();
        return true;
    }
    // An equal record is the same one; its cold start counts from when it was
    // first read.
    const bool same = order_of(offered) == order_of(before.m_last);
    offered = before.m_last;
    offered.m_gone_from = due;
    m_corrected |= !same || due;
    // One with a time of removal is kept by a peer; the store may lack it.
    if (due)
        return true;
    before.m_seen_era = m_era;
    if (same)
        before.m_era = m_era;
    return true;
}

// Keeps upstreams that only earlier eras listed until those that live have
// written again.
void instance_memory::keep_missing(instance_list& list, time_point now) {
    std::set<std::string> present;
    for (const instance& item : list.m_instances)
        if (item.m_role == instance_role::upstream)
            present.insert(item.m_id);
    for (auto& [id, item] : m_known) {
        if (item.m_removed || present.contains(id))
            continue;
        if (item.m_seen_era < m_era && now < m_rewrite_end) {
            list.m_instances.push_back(item.m_last);
            list.m_instances.back().m_gone_from = m_rewrite_end;
            m_corrected = true;
            continue;
        }
        item.m_removed = true;
        item.m_era = m_era;
    }
}

void instance_memory::bound_removed() {
    std::size_t removed = 0;
    for (const auto& [id, item] : m_known)
        removed += item.m_removed ? 1 : 0;
    if (removed > max_removed)
        std::erase_if(m_known,
                      [](const auto& item) { return item.second.m_removed; });
}

} // namespace skylark
