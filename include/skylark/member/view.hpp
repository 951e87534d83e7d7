/*! @file
 *  View: the members known to one entry, in a fixed order. */
#ifndef SKYLARK_MEMBER_VIEW_HPP
#define SKYLARK_MEMBER_VIEW_HPP

#include <algorithm>
#include <span>
#include <vector>

#include <xxhash.h>

#include <skylark/member/heartbeat.hpp>

namespace skylark {

/*! @brief Immutable list of members; equal views have equal hashes. */
class member_view {
public:
    member_view() = default;

    /*! @param names members in any order, each id once */
    explicit member_view(std::vector<member_name> names)
        : m_names{std::move(names)} {
        std::sort(m_names.begin(), m_names.end());
        std::uint64_t sum = 0;
        for (const member_name& name : m_names) {
            const std::uint64_t parts[] = {sum, name.m_id.value(),
                                           name.m_incarnation};
            sum = XXH64(parts, sizeof parts, 0);
        }
        m_hash = sum;
    }

    [[nodiscard]] std::span<const member_name> names() const { return m_names; }
    [[nodiscard]] std::size_t size() const { return m_names.size(); }
    [[nodiscard]] std::uint64_t hash() const { return m_hash; }

private:
    // Invariant: sorted; m_hash is computed from it.
    std::vector<member_name> m_names;
    std::uint64_t m_hash{};
};

} // namespace skylark

#endif
