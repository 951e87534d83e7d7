// Checks of the document's teams. Errors never contain a key or a digest.
#ifndef SKYLARK_CONFIG_TEAM_CHECK_HPP
#define SKYLARK_CONFIG_TEAM_CHECK_HPP

#include <span>

#include <skylark/config/team.hpp>
#include <skylark/core/error.hpp>

namespace skylark::internal {

/*! @brief Checks names, digests and numbers of all teams.
 *  @return nothing, or the first violation with its place */
parsed<void> check_teams(std::span<const team> teams);

} // namespace skylark::internal

#endif
