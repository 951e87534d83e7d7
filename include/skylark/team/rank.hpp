/*! @file
 *  Rank of a request: its team's rank, then its rule's. */
#ifndef SKYLARK_TEAM_RANK_HPP
#define SKYLARK_TEAM_RANK_HPP

#include <compare>
#include <cstdint>

#include <skylark/config/rule.hpp>

namespace skylark {

/*! @brief Order of requests; smaller ones go first. */
struct request_rank {
    std::uint32_t m_team{}; //!< compared first
    std::uint32_t m_rule{};

    auto operator<=>(const request_rank&) const = default;
};

/*! @brief Class of a request, given its team's rank.
 *  @param by_rule class that the rule gives it
 *  @param team_rank rank of its team
 *  @param first_rank the smallest rank of all teams
 *  @return by_rule, except that only the first teams' requests are urgent */
constexpr request_class class_of(request_class by_rule, std::uint32_t team_rank,
                                 std::uint32_t first_rank) {
    if (by_rule == request_class::urgent && team_rank > first_rank)
        return request_class::normal;
    return by_rule;
}

} // namespace skylark

#endif
