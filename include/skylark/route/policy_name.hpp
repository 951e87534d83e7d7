/*! @file
 *  Names of the routing policies that a service may choose. */
#ifndef SKYLARK_ROUTE_POLICY_NAME_HPP
#define SKYLARK_ROUTE_POLICY_NAME_HPP

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace skylark {

/*! @brief Names accepted in the configuration of a service. */
inline constexpr std::array<std::string_view, 5> policy_names{
    "preferred_least", "least_in_flight", "two_choices", "round_robin",
    "random"};

/*! @brief Whether a text names a policy. */
inline bool is_policy_name(std::string_view text) {
    return std::find(policy_names.begin(), policy_names.end(), text) !=
           policy_names.end();
}

/*! @brief All names, separated by commas, for error messages. */
inline std::string policy_name_list() {
    std::string all;
    for (const std::string_view name : policy_names)
        all += (all.empty() ? "" : ", ") + std::string{name};
    return all;
}

} // namespace skylark

#endif
