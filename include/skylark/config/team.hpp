/*! @file
 *  Team: callers that share keys, a rank and an allowance. */
#ifndef SKYLARK_CONFIG_TEAM_HPP
#define SKYLARK_CONFIG_TEAM_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace skylark {

/*! @brief What the operators declare about a team. */
struct team {
    std::string m_name;
    //! SHA-256 digests of its keys, in lowercase hexadecimal digits. The keys
    //! themselves are not kept, so that no output can contain one.
    std::vector<std::string> m_key_digests;
    std::uint32_t m_rank{}; //!< goes before the rule's rank, 0 first
    double m_rate_per_s{};  //!< allowance of all entries together; 0: none
    double m_burst{};       //!< requests beyond the rate, once

    bool operator==(const team&) const = default;
};

} // namespace skylark

#endif
