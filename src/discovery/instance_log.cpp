// Change records of the instance list and their application.
#include <skylark/discovery/instance_log.hpp>

#include <algorithm>
#include <set>

namespace skylark {

namespace {
// Most removed instances on record. Above this all are purged, and peers with
// an older index get the whole list.
constexpr std::size_t max_removed = 2000;

instance_name name_of(const instance& of) {
    return {of.m_role, of.m_id};
}
} // namespace

void instance_log::update(const instance_list& list, bool corrected) {
    if (!m_index.known())
        m_complete_since = list.m_index;
    if (corrected)
        m_complete_since = {list.m_index.m_revision + 1, list.m_index.m_era};
    std::set<instance_name> present;
    for (const instance& item : list.m_instances) {
        present.insert(name_of(item));
        record& known = m_records[name_of(item)];
        if (known.m_instance == item)
            continue;
        if (!known.m_instance && known.m_changed.known())
            --m_removed;
        known = {list.m_index, item};
    }
    for (auto& [name, known] : m_records) {
        if (!known.m_instance || present.contains(name))
            continue;
        known = {list.m_index, std::nullopt};
        ++m_removed;
    }
    m_index = list.m_index;
    if (m_removed > max_removed)
        purge_removed();
}

void instance_log::purge_removed() {
    std::erase_if(m_records,
                  [](const auto& item) { return !item.second.m_instance; });
    m_removed = 0;
    m_complete_since = m_index;
}

instance_changes instance_log::since(const store_position& index) const {
    const bool complete = index >= m_complete_since && index <= m_index;
    instance_changes out;
    out.m_base = complete ? index : store_position{};
    out.m_index = m_index;
    for (const auto& [name, known] : m_records) {
        if (known.m_changed <= out.m_base)
            continue;
        if (known.m_instance)
            out.m_present.push_back(*known.m_instance);
        else if (out.m_base.known())
            out.m_removed.push_back(name);
    }
    return out;
}

std::optional<instance_list> apply(const instance_list& base,
                                   const instance_changes& changes) {
    if (!changes.m_base.known())
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

void drop_resurrected(instance_list& list, const instance_list& before) {
    const auto expired = [](const instance& of) {
        return of.m_gone_from.has_value();
    };
    if (std::none_of(list.m_instances.begin(), list.m_instances.end(), expired))
        return;
    std::set<instance_name> in_use;
    for (const instance& item : before.m_instances)
        in_use.insert(name_of(item));
    std::erase_if(list.m_instances, [&](const instance& item) {
        return expired(item) && !in_use.contains(name_of(item));
    });
}

} // namespace skylark
