// Adoption of configuration documents.
#include <skylark/config/adoption.hpp>

#include <algorithm>
#include <utility>

namespace skylark {

namespace {

// Time in which operators drain zones again that a restored store has lost.
constexpr auto zone_rewrite_time = seconds{5};

bool is_drained(const document& in, std::string_view name) {
    const zone* found = in.find_zone(name);
    return found && found->m_state == zone_state::drained;
}

std::vector<std::string> drained_zones(const document& of) {
    std::vector<std::string> out;
    for (const zone& item : of.m_zones)
        if (item.m_state == zone_state::drained)
            out.push_back(item.m_name);
    return out;
}

void drain_zone(document& in, const std::string& name) {
    const auto found =
        std::find_if(in.m_zones.begin(), in.m_zones.end(),
                     [&](const zone& item) { return item.m_name == name; });
    if (found == in.m_zones.end())
        in.m_zones.push_back({name, "", zone_state::drained});
    else
        found->m_state = zone_state::drained;
}

} // namespace

adoption_result config_adoption::offer(const store_position& offered,
                                       const std::string& text,
                                       time_point now) {
    if (offered == position())
        return unchanged{};
    // Before the first document both texts may be empty, which is none.
    auto read = ready() && text == m_text ? parsed<document>{m_offered}
                                          : parse_document(text);
    if (!read) {
        m_refused = std::max(m_refused, offered);
        return refused{read.error()};
    }
    const config_order order{read.value().m_version, offered};
    if (order < m_order)
        return revert(read.value(), offered);
    const bool restored = ready() && offered.m_era > position().m_era;
    m_text = text;
    m_order = order;
    if (restored) {
        m_retained = drained_zones(m_document);
        m_retention_end = now + zone_rewrite_time;
    }
    m_offered = std::move(read).value();
    m_drained_since.clear();
    // A zone that the document itself drains is no longer retained: when it is
    // taken back later, the operators have said so.
    std::erase_if(m_retained, [this](const std::string& name) {
        return is_drained(m_offered, name);
    });
    update_document();
    return adopted{};
}

adoption_result config_adoption::revert(const document& offered,
                                        const store_position& position) {
    if (position <= m_reverted || position.m_era <= m_order.m_position.m_era)
        return reverted{position};
    m_reverted = position;
    const auto before = std::exchange(m_drained_since, drained_zones(offered));
    update_document();
    return reverted{position, before != m_drained_since};
}

void config_adoption::update_document() {
    m_document = m_offered;
    for (const auto* names : {&m_retained, &m_drained_since})
        for (const std::string& name : *names)
            drain_zone(m_document, name);
}

bool config_adoption::end_retention(time_point now) {
    if (m_retained.empty() || now < m_retention_end)
        return false;
    m_retained.clear();
    update_document();
    return true;
}

void config_adoption::confirmed(const config_order& which, time_point at) {
    const bool restored = which.m_version == m_order.m_version &&
                          which.m_position.m_era > m_order.m_position.m_era;
    if (which != m_order && !restored)
        return;
    m_confirmed = std::max(m_confirmed.value_or(at), at);
}

} // namespace skylark
