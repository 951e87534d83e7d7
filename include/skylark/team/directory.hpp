/*! @file
 *  Team directory: which team a key belongs to, by the key's digest. */
#ifndef SKYLARK_TEAM_DIRECTORY_HPP
#define SKYLARK_TEAM_DIRECTORY_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <skylark/config/team.hpp>
#include <skylark/core/hash.hpp>

namespace skylark {

/*! @brief Teams of the document in force.
 *
 *  Made anew when a document is adopted. A look-up takes a time that does not
 *  depend on the number of teams. What it compares are digests: how long a
 *  comparison takes tells nothing of a key. */
class team_directory {
public:
    team_directory() = default;

    /*! @brief Indexes teams.
     *  @param teams of one document; check() has refused digests that occur
     *  twice */
    explicit team_directory(std::span<const team> teams);

    /*! @brief Finds a team by a key's digest.
     *  @param digest SHA-256 in lowercase hexadecimal digits
     *  @return the team, nullptr if no team has the key; valid until the
     *  directory changes */
    [[nodiscard]] const team* find(std::string_view digest) const;

    /*! @brief Whether there are no teams, so that requests need no keys. */
    [[nodiscard]] bool empty() const { return m_teams.empty(); }

    /*! @brief The smallest rank of all teams; 0 without teams. */
    [[nodiscard]] std::uint32_t first_rank() const { return m_first_rank; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return hash(text);
        }
    };

    std::vector<team> m_teams;
    //! Positions in m_teams.
    std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>
        m_by_digest;
    std::uint32_t m_first_rank{};
};

} // namespace skylark

#endif
