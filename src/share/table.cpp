// Slot ownership by rendezvous hashing over the views since the last agreement.
#include <skylark/share/table.hpp>

#include <algorithm>
#include <array>

#include <skylark/core/hash.hpp>

namespace skylark {

namespace internal {

static std::uint64_t slot_key(upstream_id upstream, share_kind kind,
                              std::uint32_t slot) {
    const std::array<std::uint64_t, 2> parts{
        upstream.value(), (static_cast<std::uint64_t>(kind) << 32U) | slot};
    return XXH64(parts.data(), sizeof parts, 0);
}

static entry_id owner_of(const member_view& view, std::uint64_t key) {
    entry_id best;
    std::uint64_t best_score = 0;
    for (const member_name& name : view.names()) {
        const std::uint64_t score = rendezvous(key, name.m_id.value());
        if (!best || score > best_score) {
            best = name.m_id;
            best_score = score;
        }
    }
    return best;
}

} // namespace internal

std::size_t
share_table::limit_hash::operator()(const limit_key& key) const noexcept {
    return internal::slot_key(upstream_id{key.m_upstream}, key.m_kind,
                              key.m_slots);
}

void share_table::view_changed(const member_view& view) {
    m_newest = view;
    if (!m_views.empty())
        m_views.push_back(view);
    m_cache.clear();
}

void share_table::view_agreed() {
    if (m_views.size() == 1 && m_views.front().hash() == m_newest.hash())
        return;
    m_views.assign(1, m_newest);
    m_cache.clear();
}

void share_table::revoke_all() {
    m_views.clear();
    m_cache.clear();
}

bool share_table::owns(upstream_id upstream, share_kind kind,
                       std::uint32_t slot) const {
    const std::uint64_t key = internal::slot_key(upstream, kind, slot);
    return std::all_of(m_views.begin(), m_views.end(),
                       [&](const member_view& view) {
                           return internal::owner_of(view, key) == m_self;
                       });
}

std::uint32_t share_table::usable(upstream_id upstream, share_kind kind,
                                  std::uint32_t slots) const {
    if (m_views.empty())
        return 0;
    const limit_key key{upstream.value(), kind, slots};
    const auto cached = m_cache.find(key);
    if (cached != m_cache.end())
        return cached->second;
    std::uint32_t count = 0;
    for (std::uint32_t slot = 0; slot < slots; ++slot)
        count += owns(upstream, kind, slot) ? 1 : 0;
    m_cache.emplace(key, count);
    return count;
}

entry_id share_table::owner(upstream_id upstream, share_kind kind,
                            std::uint32_t slot) const {
    return internal::owner_of(m_newest,
                              internal::slot_key(upstream, kind, slot));
}

} // namespace skylark
