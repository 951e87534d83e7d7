// Mirror: local copy of the store's records as of one revision of one era.
#include "store/mirror.hpp"

#include <algorithm>

namespace skylark::store {

namespace {

// First segment of a key, with its slash.
std::string_view prefix_of(std::string_view key) {
    return key.substr(0, key.find('/') + 1);
}

} // namespace

void mirror::begin_era(std::uint64_t era) {
    m_era = era;
    m_records.clear();
    m_listing.clear();
    m_revision = 0;
    m_pending_removals.clear();
    // Also prefixes without keys in the copy have changed.
    for (auto& [prefix, version] : m_versions)
        version = 0;
}

void mirror::begin_listing() {
    m_listing.clear();
    m_listing_revision = 0;
}

void mirror::add_page(const record_page& page) {
    // Later pages may be newer. Changes are requested from the revision of the
    // oldest page on, so that none is missed.
    if (m_listing_revision == 0)
        m_listing_revision = page.m_revision;
    for (const record& item : page.m_records)
        m_listing[item.m_key] = item;
}

void mirror::end_listing(time_point now) {
    for (const auto& [key, item] : m_listing)
        update(item, m_listing_revision);
    std::vector<std::string> missing;
    for (const auto& [key, item] : m_records)
        if (!m_listing.contains(key))
            missing.push_back(key);
    for (const std::string& key : missing)
        remove(key, m_listing_revision, now);
    m_lapses.caught_up();
    m_listing.clear();
    m_revision = std::max(m_revision, m_listing_revision);
    // A listing does not show the revisions of deletions, so every prefix
    // counts as changed.
    for (auto& [prefix, version] : m_versions)
        raise_version(prefix, m_revision);
}

void mirror::apply(const record_changes& changes, time_point now) {
    for (const record& item : changes.m_records) {
        const auto known = m_records.find(item.m_key);
        // A listing may already contain a later revision of the record.
        if (known != m_records.end() &&
            item.m_revision <= known->second.m_revision)
            raise_version(prefix_of(item.m_key), item.m_revision);
        else if (item.m_deleted)
            remove(item.m_key, item.m_revision, now);
        else
            update(item, item.m_revision);
    }
    m_lapses.caught_up();
    m_revision = std::max(m_revision, changes.m_revision);
}

void mirror::update(const record& item, std::uint64_t known_up_to) {
    m_pending_removals.erase(item.m_key);
    record& kept = m_records[item.m_key];
    if (item.m_revision <= kept.m_revision)
        return;
    kept = item;
    raise_version(prefix_of(item.m_key),
                  std::min(item.m_revision, known_up_to));
}

void mirror::remove(const std::string& key, std::uint64_t revision,
                    time_point now) {
    if (!m_records.contains(key))
        return;
    const auto due = key.starts_with(m_delayed_prefix)
                         ? m_lapses.removal_due(now)
                         : std::nullopt;
    if (due) {
        if (m_pending_removals.emplace(key, *due).second)
            raise_version(prefix_of(key), revision);
        return;
    }
    m_pending_removals.erase(key);
    m_records.erase(key);
    raise_version(prefix_of(key), revision);
}

void mirror::apply_due_removals(time_point now) {
    for (auto it = m_pending_removals.begin();
         it != m_pending_removals.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        m_records.erase(it->first);
        it = m_pending_removals.erase(it);
    }
}

std::optional<time_point> mirror::removal_due(const std::string& key) const {
    const auto found = m_pending_removals.find(key);
    if (found == m_pending_removals.end())
        return std::nullopt;
    return found->second;
}

std::optional<time_point> mirror::next_removal_due() const {
    std::optional<time_point> out;
    for (const auto& [key, due] : m_pending_removals)
        out = std::min(due, out.value_or(due));
    return out;
}

void mirror::raise_version(std::string_view prefix, std::uint64_t revision) {
    std::uint64_t& newest = m_versions[std::string{prefix}];
    newest = std::max(newest, revision << removal_bits);
}

std::uint64_t mirror::shifted_revision(std::string_view prefix) const {
    const auto found = m_versions.find(prefix);
    return found == m_versions.end() ? 0 : found->second;
}

store_position
mirror::version(std::initializer_list<std::string_view> prefixes) const {
    constexpr std::size_t most_pending = (1U << removal_bits) - 1;
    std::uint64_t newest = 0;
    for (const std::string_view prefix : prefixes)
        newest = std::max(newest, shifted_revision(prefix));
    const bool delays =
        std::find(prefixes.begin(), prefixes.end(),
                  std::string_view{m_delayed_prefix}) != prefixes.end();
    const std::size_t pending =
        delays ? std::min(m_pending_removals.size(), most_pending) : 0;
    return {newest - pending, m_era};
}

} // namespace skylark::store
