// Adoption of configuration revisions.
#include <skylark/config/adoption.hpp>

#include <algorithm>

namespace skylark {

adoption_result config_adoption::offer(std::uint64_t revision,
                                       const std::string& text) {
    if (revision < m_revision)
        return reverted{revision};
    if (revision == m_revision)
        return unchanged{};
    auto read = parse_document(text);
    if (!read) {
        m_refused = std::max(m_refused, revision);
        return refused{read.error()};
    }
    m_document = std::move(read).value();
    m_text = text;
    m_revision = revision;
    return adopted{};
}

void config_adoption::confirmed(std::uint64_t revision, time_point at) {
    if (revision < m_revision)
        return;
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

} // namespace skylark
