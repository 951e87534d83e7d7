// JSON form of the configuration document.
#include <array>

#include <skylark/config/document.hpp>

#include "config/json_reader.hpp"
#include "config/team_json.hpp"
#include "core/json_text.hpp"

namespace skylark {

namespace internal {

using nlohmann::json;

static constexpr std::array classes{request_class::urgent,
                                    request_class::normal, request_class::bulk};
static constexpr std::array zone_states{zone_state::active,
                                        zone_state::drained};

template <class Item>
static parsed<Item> finish(json_reader& reader, Item item) {
    if (auto error = reader.finish())
        return *std::move(error);
    return item;
}

static parsed<zone> read_zone(const json& from, const std::string& place) {
    json_reader reader{from, place};
    zone out;
    reader.read("name", out.m_name);
    reader.read("region", out.m_region);
    reader.read_enum<zone_state>("state", out.m_state, zone_states);
    return finish(reader, std::move(out));
}

static parsed<service> read_service(const json& from,
                                    const std::string& place) {
    json_reader reader{from, place};
    service out;
    reader.read("name", out.m_name);
    reader.read("slots", out.m_slots);
    reader.read("cold_slots", out.m_cold_slots);
    reader.read("urgent_reserve", out.m_urgent_reserve);
    reader.read("policy", out.m_policy);
    reader.read("health_path", out.m_health_path);
    reader.read("shares", out.m_shares);
    reader.read("ask", out.m_ask);
    return finish(reader, std::move(out));
}

static parsed<weighted_service> read_part(const json& from,
                                          const std::string& place) {
    json_reader reader{from, place};
    weighted_service out;
    reader.read("service", out.m_service);
    reader.read("weight", out.m_weight);
    return finish(reader, std::move(out));
}

static parsed<rule> read_rule(const json& from, const std::string& place) {
    json_reader reader{from, place};
    rule out;
    reader.read("name", out.m_name);
    reader.read("service", out.m_service);
    reader.read("method", out.m_method);
    reader.read("path_prefix", out.m_path_prefix);
    reader.read("header", out.m_header);
    reader.read("header_value", out.m_header_value);
    reader.read_enum<request_class>("class", out.m_class, classes);
    reader.read("idempotent", out.m_idempotent);
    reader.read_ms("deadline_ms", out.m_deadline);
    reader.read("host", out.m_host);
    reader.read_list("split", out.m_split, read_part);
    reader.read("max_attempts", out.m_max_attempts);
    reader.read_ms("target_ms", out.m_target);
    reader.read("rank", out.m_rank);
    reader.read("public", out.m_public);
    return finish(reader, std::move(out));
}

static parsed<limits> read_limits(const json& from, const std::string& place) {
    json_reader reader{from, place};
    limits out;
    reader.read("probes_per_upstream", out.m_probes_per_upstream);
    reader.read("probes_fleet", out.m_probes_fleet);
    reader.read("retry_percent", out.m_retry_percent);
    reader.read("retry_burst", out.m_retry_burst);
    reader.read("refusals_count", out.m_refusals_count);
    reader.read("hedge_percent", out.m_hedge_percent);
    reader.read_ms("hedge_after_ms", out.m_hedge_after);
    reader.read("connections_per_upstream", out.m_connections_per_upstream);
    reader.read("queue_length", out.m_queue_length);
    reader.read("head_bytes", out.m_head_bytes);
    reader.read("body_bytes", out.m_body_bytes);
    reader.read_ms("idle_ms", out.m_idle);
    return finish(reader, out);
}

static parsed<std::string> read_text(const json& from,
                                     const std::string& place) {
    if (!from.is_string())
        return input_error{place, json_excerpt(from), "a string"};
    return from.get<std::string>();
}

static parsed<document> read_document(const json& from) {
    json_reader reader{from, "document"};
    document out;
    reader.read("change_id", out.m_change_id);
    reader.read("version", out.m_version);
    reader.read_list("recent_changes", out.m_recent_changes, read_text);
    reader.read_list("zones", out.m_zones, read_zone);
    reader.read_list("services", out.m_services, read_service);
    reader.read_list("rules", out.m_rules, read_rule);
    reader.read_list("teams", out.m_teams, read_team);
    if (const auto* child = reader.child("limits")) {
        BOOST_OUTCOME_TRY(bounds, read_limits(*child, "document/limits"));
        out.m_limits = bounds;
    }
    return finish(reader, std::move(out));
}

static json write(const zone& from) {
    return {{"name", from.m_name},
            {"region", from.m_region},
            {"state", name_of(from.m_state)}};
}

static json write(const service& from) {
    return {{"name", from.m_name},
            {"slots", from.m_slots},
            {"cold_slots", from.m_cold_slots},
            {"urgent_reserve", from.m_urgent_reserve},
            {"policy", from.m_policy},
            {"health_path", from.m_health_path},
            {"shares", from.m_shares},
            {"ask", from.m_ask}};
}

static json write(const weighted_service& from) {
    return {{"service", from.m_service}, {"weight", from.m_weight}};
}

static json write(const rule& from);

template <class Items>
static json write_list(const Items& items) {
    json out = json::array();
    for (const auto& item : items)
        out.push_back(write(item));
    return out;
}

// Leaves out the fields that a reader takes to have their defaults.
template <class Item>
static json write_compact(const std::vector<Item>& items) {
    const json defaults = write(Item{});
    json out = json::array();
    for (const Item& item : items) {
        json& fields = out.emplace_back(write(item));
        for (const auto& [key, value] : defaults.items())
            if (fields[key] == value)
                fields.erase(key);
    }
    return out;
}

static json write(const rule& from) {
    return {{"name", from.m_name},
            {"service", from.m_service},
            {"method", from.m_method},
            {"path_prefix", from.m_path_prefix},
            {"header", from.m_header},
            {"header_value", from.m_header_value},
            {"class", name_of(from.m_class)},
            {"idempotent", from.m_idempotent},
            {"deadline_ms", to_ms(from.m_deadline)},
            {"host", from.m_host},
            {"split", write_list(from.m_split)},
            {"max_attempts", from.m_max_attempts},
            {"target_ms", to_ms(from.m_target)},
            {"rank", from.m_rank},
            {"public", from.m_public}};
}

static json write(const limits& from) {
    return {{"probes_per_upstream", from.m_probes_per_upstream},
            {"probes_fleet", from.m_probes_fleet},
            {"retry_percent", from.m_retry_percent},
            {"retry_burst", from.m_retry_burst},
            {"refusals_count", from.m_refusals_count},
            {"hedge_percent", from.m_hedge_percent},
            {"hedge_after_ms", to_ms(from.m_hedge_after)},
            {"connections_per_upstream", from.m_connections_per_upstream},
            {"queue_length", from.m_queue_length},
            {"head_bytes", from.m_head_bytes},
            {"body_bytes", from.m_body_bytes},
            {"idle_ms", to_ms(from.m_idle)}};
}

} // namespace internal

parsed<document> parse_document(std::string_view text) {
    BOOST_OUTCOME_TRY(tree, parse_json(text, "document"));
    BOOST_OUTCOME_TRY(out, internal::read_document(tree));
    BOOST_OUTCOME_TRYV(check(out));
    return out;
}

std::string format_document(const document& subject) {
    const nlohmann::json tree{
        {"change_id", subject.m_change_id},
        {"version", subject.m_version},
        {"recent_changes", subject.m_recent_changes},
        {"zones", internal::write_list(subject.m_zones)},
        {"services", internal::write_list(subject.m_services)},
        {"rules", internal::write_list(subject.m_rules)},
        {"teams", internal::write_list(subject.m_teams)},
        {"limits", internal::write(subject.m_limits)}};
    constexpr int indent = 2;
    return json_text(tree, indent);
}

std::string format_compact_document(const document& subject) {
    const nlohmann::json tree{
        {"change_id", subject.m_change_id},
        {"version", subject.m_version},
        {"recent_changes", subject.m_recent_changes},
        {"zones", internal::write_compact(subject.m_zones)},
        {"services", internal::write_compact(subject.m_services)},
        {"rules", internal::write_compact(subject.m_rules)},
        {"teams", internal::write_compact(subject.m_teams)},
        {"limits", internal::write(subject.m_limits)}};
    return json_text(tree);
}

} // namespace skylark
