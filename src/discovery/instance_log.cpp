// Instance log: which instances changed since an index.
#include <skylark/discovery/instance_log.hpp>

#include <algorithm>
#include <set>

namespace skylark {

namespace {
// Removed instances that are remembered; beyond, peers get whole lists.
constexpr std::size_t most_removed = 2000;

instance_name name_of(const instance& of) {
    return {of.m_role, of.m_id};
}
} // namespace

void instance_log::take(const instance_list& list) {
    if (m_index == 0)
        m_complete_since = list.m_index;
    std::set<instance_name> present;
    for (const instance& item : list.m_instances) {
        present.insert(name_of(item));
        entry& kept = m_entries[name_of(item)];
        if (kept.m_instance == item)
            continue;
        if (!kept.m_instance && kept.m_changed != 0)
            --m_removed;
        kept = {list.m_index, item};
    }
    for (auto& [name, kept] : m_entries) {
        if (!kept.m_instance || present.contains(name))
            continue;
        kept = {list.m_index, std::nullopt};
        ++m_removed;
    }
    m_index = list.m_index;
    if (m_removed > most_removed)
        forget_removed();
}

void instance_log::forget_removed() {
    std::erase_if(m_entries,
                  [](const auto& item) { return !item.second.m_instance; });
    m_removed = 0;
    m_complete_since = m_index;
}

instance_changes instance_log::since(std::uint64_t index) const {
    const bool known = index >= m_complete_since && index <= m_index;
    instance_changes out;
    out.m_base = known ? index : 0;
    out.m_index = m_index;
    for (const auto& [name, kept] : m_entries) {
        if (kept.m_changed <= out.m_base)
            continue;
        if (kept.m_instance)
            out.m_present.push_back(*kept.m_instance);
        else if (out.m_base != 0)
            out.m_removed.push_back(name);
    }
    return out;
}

std::optional<instance_list> apply(const instance_list& base,
                                   const instance_changes& changes) {
    if (changes.m_base == 0)
        return instance_list{changes.m_index, changes.m_present};
    if (changes.m_base != base.m_index)
        return std::nullopt;
    std::map<instance_name, instance> all;
    for (const instance& item : base.m_instances)
        all[name_of(item)] = item;
    for (const instance& item : changes.m_present)
        all[name_of(item)] = item;
    for (const instance_name& name : changes.m_removed)
        all.erase(name);
    instance_list out;
    out.m_index = changes.m_index;
    for (auto& [name, item] : all)
        out.m_instances.push_back(std::move(item));
    return out;
}

void drop_returning(instance_list& list, const instance_list& before) {
    const auto lapsed = [](const instance& of) {
        return of.m_gone_from.has_value();
    };
    if (std::none_of(list.m_instances.begin(), list.m_instances.end(), lapsed))
        return;
    std::set<instance_name> known;
    for (const instance& item : before.m_instances)
        known.insert(name_of(item));
    std::erase_if(list.m_instances, [&](const instance& item) {
        return lapsed(item) && !known.contains(name_of(item));
    });
}

} // namespace skylark
