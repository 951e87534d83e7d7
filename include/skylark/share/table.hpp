/*! @file
 *  Share table: how many slots of each limit this entry may use now.
 *
 *  Slot i of a limit belongs to the member with the highest rendezvous score
 *  for (upstream, kind, i), so the members' slots add up to the limit while
 *  their views agree. A slot that a new view assigns to this entry may be used
 *  only after all members have confirmed that view and the release of the slots
 *  they lost. A slot is kept through a change only if every view since the last
 *  agreement assigns it to this entry. */
#ifndef SKYLARK_SHARE_TABLE_HPP
#define SKYLARK_SHARE_TABLE_HPP

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/member/view.hpp>
#include <skylark/share/kind.hpp>

namespace skylark {

/*! @brief Slots that this entry owns, derived from its membership views. */
class share_table {
public:
    explicit share_table(entry_id self) : m_self{self} {}

    /*! @brief Applies a new view. Slots that it adds stay unusable until
     *  view_agreed. */
    void view_changed(const member_view& view);

    /*! @brief Makes the newest view the only one: all members agreed on it. */
    void view_agreed();

    /*! @brief Revokes all slots until the next agreement, because this entry
     *  lost its majority or was paused. */
    void revoke_all();

    /*! @brief Number of slots that this entry may use. Valid only while this
     *  entry has a majority, which the caller checks.
     *  @param upstream upstream that the limit applies to
     *  @param kind kind of limit
     *  @param slots size of the limit
     *  @return number of slots, 0 to slots */
    [[nodiscard]] std::uint32_t usable(upstream_id upstream, share_kind kind,
                                       std::uint32_t slots) const;

    /*! @brief Member that owns a slot in the newest view; the null id if the
     *  view is empty. */
    [[nodiscard]] entry_id owner(upstream_id upstream, share_kind kind,
                                 std::uint32_t slot) const;

private:
    struct limit_key {
        std::uint64_t m_upstream;
        share_kind m_kind;
        std::uint32_t m_slots;
        bool operator==(const limit_key&) const = default;
    };
    struct limit_hash {
        std::size_t operator()(const limit_key& key) const noexcept;
    };

    [[nodiscard]] bool owns(upstream_id upstream, share_kind kind,
                            std::uint32_t slot) const;

    entry_id m_self;
    // Invariant: the view of the last agreement, then all later ones; empty
    // before the first agreement and after revoke_all. m_newest is the newest
    // view in either case.
    std::vector<member_view> m_views;
    member_view m_newest;
    mutable std::unordered_map<limit_key, std::uint32_t, limit_hash> m_cache;
};

} // namespace skylark

#endif
