// Adoption of configuration documents.
#include <skylark/config/adoption.hpp>

#include <algorithm>
#include <utility>

namespace skylark {

adoption_result config_adoption::offer(const store_position& offered,
                                       const std::string& text) {
    if (offered == position())
        return unchanged{};
    // Within an era the store's own order is enough.
    if (offered < position() && offered.m_era == position().m_era)
        return reverted{offered};
    auto read = parse_document(text);
    if (!read) {
        m_refused = std::max(m_refused, offered);
        return refused{read.error()};
    }
    const config_order order{read.value().m_version, offered};
    if (order < m_order) {
        m_reverted = std::max(m_reverted, offered);
        return reverted{offered};
    }
    m_document = std::move(read).value();
    m_text = text;
    m_order = order;
    return adopted{};
}

void config_adoption::confirmed(const config_order& which, time_point at) {
    if (which < m_order)
        return;
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

} // namespace skylark
