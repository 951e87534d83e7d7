// Look-up of teams by the digests of their keys.
#include <skylark/team/directory.hpp>

#include <algorithm>

namespace skylark {

team_directory::team_directory(std::span<const team> teams)
    : m_teams{teams.begin(), teams.end()} {
    for (std::size_t i = 0; i < m_teams.size(); ++i)
        for (const std::string& digest : m_teams[i].m_key_digests)
            m_by_digest.emplace(digest, i);
    const auto first =
        std::min_element(m_teams.begin(), m_teams.end(),
                         [](const team& left, const team& right) {
                             return left.m_rank < right.m_rank;
                         });
    m_first_rank = first == m_teams.end() ? 0 : first->m_rank;
}

const team* team_directory::find(std::string_view digest) const {
    const auto found = m_by_digest.find(digest);
    return found == m_by_digest.end() ? nullptr : &m_teams[found->second];
}

} // namespace skylark
