// JSON form of teams. Errors never contain a value that may be a key.
#ifndef SKYLARK_CONFIG_TEAM_JSON_HPP
#define SKYLARK_CONFIG_TEAM_JSON_HPP

#include <string>

#include <nlohmann/json_fwd.hpp>

#include <skylark/config/team.hpp>
#include <skylark/core/error.hpp>

namespace skylark::internal {

parsed<team> read_team(const nlohmann::json& from, const std::string& place);

nlohmann::json write(const team& from);

} // namespace skylark::internal

#endif
