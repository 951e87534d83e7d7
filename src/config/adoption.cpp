// Adoption of configuration documents.
#include <skylark/config/adoption.hpp>

#include <algorithm>
#include <utility>

namespace skylark {

namespace {
// Time in which operators write again what a restored store has lost.
constexpr auto rewrite_time = seconds{5};
} // namespace

adoption_result config_adoption::offer(const store_position& offered,
                                       const std::string& text,
                                       time_point now) {
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
    const bool restored = ready() && offered.m_era > position().m_era;
    const document before = std::exchange(m_document, std::move(read).value());
    m_text = text;
    m_order = order;
    if (restored)
        retain_drained_zones(before, now);
    apply_retention();
    return adopted{};
}

void config_adoption::retain_drained_zones(const document& before,
                                           time_point now) {
    m_retained.clear();
    m_retention_end = now + rewrite_time;
    for (const zone& item : before.m_zones)
        if (item.m_state == zone_state::drained)
            m_retained.push_back(item.m_name);
}

// A zone that the document itself drains is no longer retained: when it is
// restored later, the operators have said so.
void config_adoption::apply_retention() {
    std::erase_if(m_retained, [this](const std::string& name) {
        const zone* offered = m_document.find_zone(name);
        return offered && offered->m_state == zone_state::drained;
    });
    for (const std::string& name : m_retained) {
        const auto found =
            std::find_if(m_document.m_zones.begin(), m_document.m_zones.end(),
                         [&](const zone& item) { return item.m_name == name; });
        if (found == m_document.m_zones.end())
            m_document.m_zones.push_back({name, "", zone_state::drained});
        else
            found->m_state = zone_state::drained;
    }
}

bool config_adoption::end_retention(time_point now) {
    if (m_retained.empty() || now < m_retention_end)
        return false;
    m_retained.clear();
    // The text was parsed when it was adopted.
    m_document = parse_document(m_text).value();
    return true;
}

void config_adoption::confirmed(const config_order& which, time_point at) {
    if (which < m_order)
        return;
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

} // namespace skylark
