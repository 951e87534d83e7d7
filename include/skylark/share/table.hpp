/*! @file
 *  Share table: how many slots of each limit this entry may use now.
 *
 *  Slot i of a limit belongs to the member with the highest rendezvous score
 *  for (upstream, kind, i), so the members' slots add up to the limit while
 *  their views agree. A slot that a new view brings may be used only when all
 *  members have confirmed that view and their releases; a slot is kept
 *  through a change only when every view since the last agreement gives it to
 *  this entry. */
#ifndef SKYLARK_SHARE_TABLE_HPP
#define SKYLARK_SHARE_TABLE_HPP

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/member/view.hpp>
#include <skylark/share/kind.hpp>

namespace skylark {

/*! @brief Slots of this entry, from its views. */
class share_table {
public:
    explicit share_table(entry_id self) : m_self{self} {}

    /*! @brief A new view holds; new slots wait for agreement. */
    void view_changed(const member_view& view);

    /*! @brief All members agreed on the newest view. */
    void view_agreed();

    /*! @brief This entry lost its majority or was paused: it owns nothing
     *  until the next agreement. */
    void lapsed();

    /*! @brief Slots that this entry may use, if its majority holds.
     *  @param upstream whose limit
     *  @param kind which limit
     *  @param slots size of the limit
     *  @return number of slots, 0 to slots */
    [[nodiscard]] std::uint32_t usable(upstream_id upstream, share_kind kind,
                                       std::uint32_t slots) const;

    /*! @brief Member that owns a slot in the newest view; none when empty. */
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
    // Invariant: the views since the last agreement, that one first; empty
    // after a lapse. m_newest is the newest in either case.
    std::vector<member_view> m_views;
    member_view m_newest;
    mutable std::unordered_map<limit_key, std::uint32_t, limit_hash> m_cache;
};

} // namespace skylark

#endif
