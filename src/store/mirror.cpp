// Mirror: the records under some prefixes as of one revision.
#include "store/mirror.hpp"

#include <algorithm>

namespace skylark::store {

namespace {

// First segment of a key.
std::string_view prefix_of(std::string_view key) {
    return key.substr(0, key.find('/') + 1);
}

} // namespace

void mirror::reached(time_point now) {
    if (m_away)
        m_hold_until = now + m_hold;
    m_away = false;
}

void mirror::begin_listing() {
    m_listing.clear();
    m_listing_revision = 0;
}

void mirror::list(const record_page& page) {
    // Later pages are newer; the changes from the oldest on are applied after.
    if (m_listing_revision == 0)
        m_listing_revision = page.m_revision;
    for (const record& item : page.m_records)
        m_listing[item.m_key] = item;
}

void mirror::end_listing(time_point now) {
    for (const auto& [key, item] : m_listing)
        take(item, m_listing_revision);
    std::vector<std::string> gone;
    for (const auto& [key, item] : m_records)
        if (!m_listing.contains(key))
            gone.push_back(key);
    for (const std::string& key : gone)
        remove(key, m_listing_revision, now);
    m_listing.clear();
    m_revision = std::max(m_revision, m_listing_revision);
    // Deletions leave nothing in a listing that would tell their revision.
    for (auto& [prefix, version] : m_versions)
        touch(prefix, m_revision);
}

void mirror::apply(const record_changes& changes, time_point now) {
    for (const record& item : changes.m_records) {
        const auto known = m_records.find(item.m_key);
        // A listing may already have shown a later state.
        if (known != m_records.end() &&
            item.m_revision <= known->second.m_revision)
            touch(prefix_of(item.m_key), item.m_revision);
        else if (item.m_deleted)
            remove(item.m_key, item.m_revision, now);
        else
            take(item, item.m_revision);
    }
    m_revision = std::max(m_revision, changes.m_revision);
}

void mirror::take(const record& item, std::uint64_t complete) {
    m_removals.erase(item.m_key);
    record& kept = m_records[item.m_key];
    if (item.m_revision <= kept.m_revision)
        return;
    kept = item;
    touch(prefix_of(item.m_key), std::min(item.m_revision, complete));
}

void mirror::remove(const std::string& key, std::uint64_t revision,
                    time_point now) {
    if (!m_records.contains(key))
        return;
    if (key.starts_with(m_held) && now < m_hold_until) {
        if (m_removals.emplace(key, m_hold_until).second)
            touch(prefix_of(key), revision);
        return;
    }
    m_removals.erase(key);
    m_records.erase(key);
    touch(prefix_of(key), revision);
}

void mirror::settle(time_point now) {
    for (auto it = m_removals.begin(); it != m_removals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_records.erase(it->first);
        // Above every version, so that the greatest of several also grows.
        std::uint64_t newest = 0;
        for (const auto& [prefix, version] : m_versions)
            newest = std::max(newest, version);
        m_versions[std::string{prefix_of(it->first)}] = newest + 1;
        it = m_removals.erase(it);
    }
}

std::optional<time_point> mirror::removal_due(const std::string& key) const {
    const auto found = m_removals.find(key);
    if (found == m_removals.end())
        return std::nullopt;
    return found->second;
}

std::optional<time_point> mirror::next_due() const {
    std::optional<time_point> out;
    for (const auto& [key, due] : m_removals)
        out = std::min(due, out.value_or(due));
    return out;
}

void mirror::touch(std::string_view prefix, std::uint64_t revision) {
    std::uint64_t& newest = m_versions[std::string{prefix}];
    newest = std::max(newest, revision << removal_bits);
}

std::uint64_t mirror::version(std::string_view prefix) const {
    const auto found = m_versions.find(prefix);
    return found == m_versions.end() ? 0 : found->second;
}

} // namespace skylark::store
