// Look-ups in the document and checks across its fields.
#include <skylark/config/document.hpp>

#include <algorithm>
#include <set>

#include <skylark/route/policy_name.hpp>

#include "config/team_check.hpp"

namespace skylark {

namespace internal {

static input_error violation(std::string place, std::string_view value,
                             std::string expected) {
    return {"document" + std::move(place), '"' + std::string{value} + '"',
            std::move(expected)};
}

template <class Items>
static const typename Items::value_type* find_named(const Items& items,
                                                    std::string_view name) {
    const auto found =
        std::find_if(items.begin(), items.end(),
                     [&](const auto& item) { return item.m_name == name; });
    return found == items.end() ? nullptr : &*found;
}

template <class Items>
static parsed<void> check_names(const Items& items, const std::string& place) {
    std::set<std::string_view> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
        const std::string& name = items[i].m_name;
        const std::string at = place + "/" + std::to_string(i) + "/name";
        if (name.empty())
            return violation(at, name, "a name");
        if (!seen.insert(name).second)
            return violation(at, name, "a name used once");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

static parsed<void> check_service(const service& subject,
                                  const std::string& place) {
    const auto number = [](std::uint32_t n) { return std::to_string(n); };
    if (subject.m_slots == 0)
        return violation(place + "/slots", "0", "at least 1");
    if (subject.m_cold_slots == 0 || subject.m_cold_slots > subject.m_slots)
        return violation(place + "/cold_slots", number(subject.m_cold_slots),
                         "between 1 and slots");
    if (subject.m_urgent_reserve >= subject.m_slots && subject.m_slots > 1)
        return violation(place + "/urgent_reserve",
                         number(subject.m_urgent_reserve), "less than slots");
    if (!is_policy_name(subject.m_policy))
        return violation(place + "/policy", subject.m_policy,
                         "one of: " + policy_name_list());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

static parsed<void> check_rule(const document& subject, const rule& checked,
                               const std::string& place) {
    if (checked.m_split.empty() && !subject.find_service(checked.m_service))
        return violation(place + "/service", checked.m_service,
                         "the name of a declared service");
    for (const weighted_service& part : checked.m_split)
        if (!subject.find_service(part.m_service))
            return violation(place + "/split", part.m_service,
                             "the name of a declared service");
    if (checked.m_max_attempts == 0)
        return violation(place + "/max_attempts", "0", "at least 1");
    if (checked.m_path_prefix.empty() || checked.m_path_prefix[0] != '/')
        return violation(place + "/path_prefix", checked.m_path_prefix,
                         "a path that begins with /");
    if (checked.m_deadline <= duration{0})
        return violation(place + "/deadline_ms",
                         std::to_string(to_ms(checked.m_deadline)),
                         "at least 1");
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace internal

const zone* document::find_zone(std::string_view name) const {
    return internal::find_named(m_zones, name);
}

const service* document::find_service(std::string_view name) const {
    return internal::find_named(m_services, name);
}

const rule* document::find_rule(std::string_view name) const {
    return internal::find_named(m_rules, name);
}

bool document::has_change(std::string_view change_id) const {
    return m_change_id == change_id ||
           std::find(m_recent_changes.begin(), m_recent_changes.end(),
                     change_id) != m_recent_changes.end();
}

void document::begin_change(std::string change_id) {
    // A writer that lost its response can still find its change after this many
    // later ones.
    constexpr std::size_t max_recent = 32;
    m_recent_changes.insert(m_recent_changes.begin(), std::move(m_change_id));
    m_recent_changes.resize(std::min(m_recent_changes.size(), max_recent));
    m_change_id = std::move(change_id);
}

parsed<void> check(const document& subject) {
    BOOST_OUTCOME_TRYV(internal::check_names(subject.m_zones, "/zones"));
    BOOST_OUTCOME_TRYV(internal::check_names(subject.m_services, "/services"));
    BOOST_OUTCOME_TRYV(internal::check_names(subject.m_rules, "/rules"));
    for (std::size_t i = 0; i < subject.m_services.size(); ++i) {
        const std::string place = "/services/" + std::to_string(i);
        BOOST_OUTCOME_TRYV(
            internal::check_service(subject.m_services[i], place));
    }
    for (std::size_t i = 0; i < subject.m_rules.size(); ++i) {
        const std::string place = "/rules/" + std::to_string(i);
        BOOST_OUTCOME_TRYV(
            internal::check_rule(subject, subject.m_rules[i], place));
    }
    BOOST_OUTCOME_TRYV(internal::check_teams(subject.m_teams));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

std::string_view name_of(request_class value) {
    switch (value) {
    case request_class::urgent:
        return "urgent";
    case request_class::normal:
        return "normal";
    case request_class::bulk:
        break;
    }
    return "bulk";
}

std::string_view name_of(zone_state value) {
    return value == zone_state::active ? "active" : "drained";
}

} // namespace skylark
