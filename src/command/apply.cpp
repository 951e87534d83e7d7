// Applies change statements to a document.
#include <skylark/command/apply.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <vector>

#include <skylark/core/suggest.hpp>

namespace skylark {

namespace internal {

namespace outcome_ns = BOOST_OUTCOME_V2_NAMESPACE;
using status = parsed<void>;

static input_error error_at(const located_text& what, std::string expected) {
    return {"column " + std::to_string(what.m_column), '"' + what.m_text + '"',
            std::move(expected)};
}

// Assigns the parsed value of a key to one field of an item.
template <class Item>
struct setter {
    std::string_view m_key;
    std::function<status(Item&, const located_text&)> m_set;
};

template <class Item>
static setter<Item> text_field(std::string_view key,
                               std::string Item::*member) {
    return {key, [member](Item& item, const located_text& value) -> status {
                item.*member = value.m_text;
                return outcome_ns::success();
            }};
}

static parsed<std::uint32_t> number_of(const located_text& value) {
    std::uint32_t number = 0;
    const char* last = value.m_text.data() + value.m_text.size();
    const auto [end, code] = std::from_chars(value.m_text.data(), last, number);
    if (code != std::errc{} || end != last)
        return error_at(value, "a whole number from 0 up");
    return number;
}

template <class Item>
static setter<Item> number_field(std::string_view key,
                                 std::uint32_t Item::*member) {
    return {key, [member](Item& item, const located_text& value) -> status {
                BOOST_OUTCOME_TRY(number, number_of(value));
                item.*member = number;
                return outcome_ns::success();
            }};
}

template <class Item>
static setter<Item> ms_field(std::string_view key, duration Item::*member) {
    return {key, [member](Item& item, const located_text& value) -> status {
                BOOST_OUTCOME_TRY(number, number_of(value));
                item.*member = milliseconds{number};
                return outcome_ns::success();
            }};
}

template <class Item>
static setter<Item> flag_field(std::string_view key, bool Item::*member) {
    return {key, [member](Item& item, const located_text& value) -> status {
                if (value.m_text != "true" && value.m_text != "false")
                    return error_at(value, "true or false");
                item.*member = value.m_text == "true";
                return outcome_ns::success();
            }};
}

static status set_class(rule& item, const located_text& value) {
    for (const auto known :
         {request_class::urgent, request_class::normal, request_class::bulk}) {
        if (name_of(known) == value.m_text) {
            item.m_class = known;
            return outcome_ns::success();
        }
    }
    return error_at(value, "urgent, normal or bulk");
}

static std::vector<setter<zone>> setters(const zone&) {
    return {text_field("region", &zone::m_region)};
}

static std::vector<setter<service>> setters(const service&) {
    return {number_field("slots", &service::m_slots),
            number_field("cold_slots", &service::m_cold_slots),
            number_field("urgent_reserve", &service::m_urgent_reserve),
            text_field("policy", &service::m_policy)};
}

static std::vector<setter<rule>> setters(const rule&) {
    return {text_field("service", &rule::m_service),
            text_field("method", &rule::m_method),
            text_field("path_prefix", &rule::m_path_prefix),
            text_field("header", &rule::m_header),
            text_field("header_value", &rule::m_header_value),
            {"class", set_class},
            flag_field("idempotent", &rule::m_idempotent),
            flag_field("public", &rule::m_public),
            ms_field("deadline_ms", &rule::m_deadline)};
}

static std::vector<setter<limits>> setters(const limits&) {
    return {number_field("probes_per_upstream", &limits::m_probes_per_upstream),
            number_field("probes_fleet", &limits::m_probes_fleet),
            number_field("retry_percent", &limits::m_retry_percent),
            number_field("hedge_percent", &limits::m_hedge_percent),
            ms_field("hedge_after_ms", &limits::m_hedge_after),
            number_field("connections_per_upstream",
                         &limits::m_connections_per_upstream),
            number_field("queue_length", &limits::m_queue_length)};
}

template <class Item>
static status assign(Item& item, const std::vector<assignment>& list) {
    const auto known = setters(item);
    for (const assignment& one : list) {
        const auto found = std::find_if(
            known.begin(), known.end(), [&](const setter<Item>& candidate) {
                return candidate.m_key == one.m_key.m_text;
            });
        if (found == known.end()) {
            std::vector<std::string_view> names;
            names.reserve(known.size());
            for (const auto& candidate : known)
                names.push_back(candidate.m_key);
            return error_at(one.m_key,
                            expected_one_of(one.m_key.m_text, names));
        }
        BOOST_OUTCOME_TRYV(found->m_set(item, one.m_value));
    }
    return outcome_ns::success();
}

template <class Item>
static input_error unknown_name(const std::vector<Item>& items,
                                const located_text& name) {
    std::vector<std::string_view> names;
    names.reserve(items.size());
    for (const Item& item : items)
        names.push_back(item.m_name);
    return error_at(name, expected_one_of(name.m_text, names));
}

template <class Item>
static auto find_item(std::vector<Item>& items, const located_text& name) {
    return std::find_if(items.begin(), items.end(), [&](const Item& item) {
        return item.m_name == name.m_text;
    });
}

template <class Item>
static status edit(std::vector<Item>& items, const change_statement& change) {
    const auto found = find_item(items, change.m_name);
    if (change.m_kind == change_kind::create) {
        if (found != items.end())
            return error_at(change.m_name, "a name that is not in use");
        Item created;
        created.m_name = change.m_name.m_text;
        BOOST_OUTCOME_TRYV(assign(created, change.m_assignments));
        items.push_back(std::move(created));
        return outcome_ns::success();
    }
    if (found == items.end())
        return unknown_name(items, change.m_name);
    if (change.m_kind == change_kind::alter)
        return assign(*found, change.m_assignments);
    items.erase(found);
    return outcome_ns::success();
}

// Name of the first service that has upstreams, but none in an active zone;
// empty when there is none. Upstreams that are leaving do not count.
static std::string unreachable_service(const document& subject,
                                       const instance_list& instances) {
    for (const service& item : subject.m_services) {
        bool has_upstream = false;
        bool reachable = false;
        for (const instance& one : instances.m_instances) {
            if (one.m_service != item.m_name || one.m_leaving)
                continue;
            has_upstream = true;
            const zone* where = subject.find_zone(one.m_zone);
            reachable |= where && where->m_state == zone_state::active;
        }
        if (has_upstream && !reachable)
            return item.m_name;
    }
    return {};
}

static status set_zone(document& subject, const change_statement& change,
                       const instance_list& instances) {
    const auto found = find_item(subject.m_zones, change.m_name);
    if (found == subject.m_zones.end())
        return unknown_name(subject.m_zones, change.m_name);
    const bool drain = change.m_kind == change_kind::drain;
    found->m_state = drain ? zone_state::drained : zone_state::active;
    const std::string unreachable = unreachable_service(subject, instances);
    if (drain && !change.m_force && !unreachable.empty())
        return error_at(change.m_name, "a zone without which service " +
                                           unreachable +
                                           " still has one, or force");
    return outcome_ns::success();
}

static status change_document(document& subject, const change_statement& change,
                              const instance_list& instances) {
    if (change.m_kind == change_kind::set)
        return assign(subject.m_limits, change.m_assignments);
    const bool is_zone_change = change.m_kind == change_kind::drain ||
                                change.m_kind == change_kind::restore;
    if (is_zone_change)
        return set_zone(subject, change, instances);
    switch (change.m_target) {
    case change_target::zone:
        return edit(subject.m_zones, change);
    case change_target::service:
        return edit(subject.m_services, change);
    case change_target::rule:
    case change_target::limits:
        break;
    }
    return edit(subject.m_rules, change);
}

} // namespace internal

parsed<document> apply(const document& base, const change_statement& change,
                       const instance_list& instances) {
    document out = base;
    BOOST_OUTCOME_TRYV(internal::change_document(out, change, instances));
    BOOST_OUTCOME_TRYV(check(out));
    return out;
}

} // namespace skylark
