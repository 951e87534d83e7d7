/*! @file
 *  What one entry knows of the others, for the ownership of teams. */
#ifndef SKYLARK_ALLOWANCE_VIEW_HPP
#define SKYLARK_ALLOWANCE_VIEW_HPP

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

#include <skylark/allowance/fwd.hpp>
#include <skylark/core/hash.hpp>
#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief The members that may own teams, and those that count for shares. */
struct allowance_view {
    entry_id m_self;
    //! Live members; this entry is one of them unless it is shutting down.
    std::vector<entry_id> m_live;
    //! Members heard in the last 30 s, this entry included.
    std::vector<entry_id> m_known;
    //! Whether this entry has had time to hear of all members.
    bool m_settled{};
    //! The deployment has no other entry, so nobody else lends.
    bool m_single{};

    /*! @brief First and second member for a team; none if there is none. */
    struct ranking {
        entry_id m_first;
        entry_id m_second;
    };

    /*! @brief Ranks members for a team by rendezvous score. */
    static ranking rank(std::uint64_t team, std::span<const entry_id> among) {
        ranking out;
        std::uint64_t first = 0;
        std::uint64_t second = 0;
        for (const entry_id item : among) {
            const std::uint64_t score = rendezvous(team, item.value());
            if (!out.m_first || score > first) {
                out.m_second = out.m_first;
                second = first;
                out.m_first = item;
                first = score;
            } else if (!out.m_second || score > second) {
                out.m_second = item;
                second = score;
            }
        }
        return out;
    }

    /*! @brief Ranks the live members for a team. */
    [[nodiscard]] ranking rank(std::uint64_t team) const {
        return rank(team, m_live);
    }

    /*! @brief Number of entries among which a limit is divided. An entry that
     *  knows no other one, or has just started, assumes 64, as it may be one
     *  of many that do not hear each other. */
    [[nodiscard]] double size() const {
        constexpr std::size_t assumed = 64;
        const std::size_t known = m_known.size();
        const bool doubtful = !m_single && (known <= 1 || !m_settled);
        return static_cast<double>(doubtful ? std::max(known, assumed) : known);
    }

    [[nodiscard]] bool is_member(entry_id of) const {
        return std::find(m_live.begin(), m_live.end(), of) != m_live.end();
    }
};

} // namespace skylark

#endif
