// What is known of upstreams from before the store was restored from a copy.
#include <skylark/discovery/instance_memory.hpp>

#include <set>
#include <tuple>

namespace skylark {

namespace {

// Most removed upstreams on record; above this all are forgotten.
constexpr std::size_t max_removed = 2000;

auto order_of(const instance& of) {
    return std::tie(of.m_incarnation, of.m_sequence);
}

} // namespace

void instance_memory::reconcile(instance_list& list, time_point now) {
    if (list.m_index.m_era > m_era) {
        m_era = list.m_index.m_era;
        m_rewrite_end = now + m_rewrite_time;
    }
    std::erase_if(list.m_instances, [&](instance& item) {
        return item.m_role == instance_role::upstream && !correct(item, m_era);
    });
    handle_missing(list, now);
    bound_removed();
}

// Returns whether the offered record names an upstream that may exist.
bool instance_memory::correct(instance& offered, std::uint64_t era) {
    const auto [found, added] =
        m_known.try_emplace(offered.m_id, known{offered, era, false});
    known& before = found->second;
    if (added)
        return true;
    if (before.m_era < era) {
        const bool is_new = order_of(offered) > order_of(before.m_last);
        if (!is_new && before.m_removed)
            return false;
        // An equal record is the same one; its cold start counts from when it
        // was first read.
        if (!is_new) {
            const bool same = order_of(offered) == order_of(before.m_last);
            offered = before.m_last;
            before.m_era = same ? era : before.m_era;
            return true;
        }
        offered.m_leaving |=
            offered.m_incarnation == before.m_last.m_incarnation &&
            before.m_last.m_leaving;
    }
    before = {offered, era, false};
    return true;
}

void instance_memory::handle_missing(instance_list& list, time_point now) {
    std::set<std::string_view> present;
    for (const instance& item : list.m_instances)
        if (item.m_role == instance_role::upstream)
            present.insert(item.m_id);
    std::vector<instance> kept;
    for (auto& [id, item] : m_known) {
        if (item.m_removed || present.contains(id))
            continue;
        if (item.m_era < m_era && now < m_rewrite_end) {
            kept.push_back(item.m_last);
            kept.back().m_gone_from = m_rewrite_end;
            continue;
        }
        item.m_removed = true;
        item.m_era = m_era;
    }
    list.m_instances.insert(list.m_instances.end(), kept.begin(), kept.end());
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
