// Answers show and explain queries from this entry's state.
#include "entry/inspector.hpp"

#include <algorithm>

#include <skylark/rule/classify.hpp>

#include "core/foreign_text.hpp"

namespace skylark::entry {

namespace {

template <class Number>
std::string text(Number value) {
    return std::to_string(value);
}

std::string age_text(duration age) {
    return age > std::chrono::hours{24} ? "never" : text(to_ms(age));
}

// Names and texts of others end in a terminal.
table clean(table of) {
    for (auto& row : of.m_rows)
        for (std::string& cell : row)
            cell = clean_text(cell);
    return of;
}

std::string yes_no(bool value) {
    return value ? "yes" : "no";
}

} // namespace

parsed<table> inspector::show(const show_query& query) {
    table out;
    switch (query.m_subject) {
    case show_subject::services:
        out = services();
        break;
    case show_subject::zones:
        out = zones();
        break;
    case show_subject::rules:
        out = rules();
        break;
    case show_subject::limits:
        out = bounds();
        break;
    case show_subject::upstreams:
        out = upstreams();
        break;
    case show_subject::entries:
        out = entries();
        break;
    case show_subject::load:
        out = load();
        break;
    case show_subject::shares:
        out = shares();
        break;
    case show_subject::config:
        out = config();
        break;
    case show_subject::events:
        out = events();
        break;
    case show_subject::teams:
        out = teams();
        break;
    }
    BOOST_OUTCOME_TRY(chosen, select(std::move(out), query.m_filters));
    return clean(std::move(chosen));
}

table inspector::services() {
    table out{{"service", "slots", "cold_slots", "urgent_reserve", "policy",
               "upstreams"},
              {}};
    for (const service& item : m_shared.m_config.current().m_services)
        out.m_rows.push_back(
            {item.m_name, text(item.m_slots), text(item.m_cold_slots),
             text(item.m_urgent_reserve), item.m_policy,
             text(m_shared.m_upstreams.of_service(item.m_name).size())});
    return out;
}

table inspector::zones() {
    table out{{"zone", "region", "state", "upstreams", "in_flight"}, {}};
    for (const zone& item : m_shared.m_config.current().m_zones) {
        std::size_t count = 0;
        std::uint32_t in_flight = 0;
        for (const auto& [key, one] : m_shared.m_upstreams.all())
            if (one.m_zone == item.m_name) {
                ++count;
                in_flight += one.m_load.in_flight();
            }
        out.m_rows.push_back({item.m_name, item.m_region,
                              std::string{name_of(item.m_state)}, text(count),
                              text(in_flight)});
    }
    return out;
}

table inspector::rules() {
    table out{{"rule", "service", "method", "path_prefix", "header", "class",
               "idempotent", "deadline_ms", "public"},
              {}};
    for (const rule& item : m_shared.m_config.current().m_rules)
        out.m_rows.push_back(
            {item.m_name, item.m_service, item.m_method, item.m_path_prefix,
             item.m_header.empty() ? "-"
                                   : item.m_header + "=" + item.m_header_value,
             std::string{name_of(item.m_class)}, yes_no(item.m_idempotent),
             text(to_ms(item.m_deadline)), yes_no(item.m_public)});
    return out;
}

table inspector::teams() {
    table out{{"team", "keys", "rank", "rate_per_s", "burst"}, {}};
    for (const team& item : m_shared.m_config.current().m_teams)
        out.m_rows.push_back({item.m_name, text(item.m_key_digests.size()),
                              text(item.m_rank), text(item.m_rate_per_s),
                              text(item.m_burst)});
    return out;
}

table inspector::bounds() {
    const limits& of = m_shared.m_config.current().m_limits;
    return {{"limit", "value"},
            {{"probes_per_upstream", text(of.m_probes_per_upstream)},
             {"probes_fleet", text(of.m_probes_fleet)},
             {"retry_percent", text(of.m_retry_percent)},
             {"hedge_percent", text(of.m_hedge_percent)},
             {"hedge_after_ms", text(to_ms(of.m_hedge_after))},
             {"connections_per_upstream", text(of.m_connections_per_upstream)},
             {"queue_length", text(of.m_queue_length)}}};
}

table inspector::upstreams() {
    table out{{"upstream", "service", "zone", "state", "in_flight",
               "connections", "listed", "taking_work"},
              {}};
    const time_point now = io::event_loop::now();
    for (const auto& [key, item] : m_shared.m_upstreams.all()) {
        const upstream_state state = item.m_load.state(now);
        const bool takes =
            item.eligible(now) && state != upstream_state::draining;
        out.m_rows.push_back(
            {item.m_address.text(), item.m_service, item.m_zone,
             std::string{name_of(state)}, text(item.m_load.in_flight()),
             text(item.m_connections), yes_no(item.m_listed), yes_no(takes)});
    }
    return out;
}

table inspector::entries() {
    table out{{"entry", "address", "state", "requests", "revision", "heard_ms"},
              {}};
    const fleet& members = m_shared.m_fleet;
    const auto add = [&](const member_record& of, member_state state,
                         std::uint32_t requests, const store_position& position,
                         duration heard) {
        out.m_rows.push_back({text(of.m_name.m_id.value()),
                              of.m_contact.m_control.text(),
                              std::string{name_of(state)}, text(requests),
                              text_of(position), age_text(heard)});
    };
    add(members.self_record(), members.state(), members.requests(),
        m_shared.m_config.position(), duration{0});
    const time_point now = io::event_loop::now();
    for (const auto& [id, peer] : members.peers())
        add(peer.m_record, peer.m_state, peer.m_requests,
            peer.m_config.m_revision, now - peer.m_last_heard);
    return out;
}

table inspector::load() {
    table out{{"upstream", "service", "used", "slots", "queue", "in_flight",
               "penalty", "report_age_ms", "latency_us", "distrusted"},
              {}};
    const time_point now = io::event_loop::now();
    for (const auto& [key, item] : m_shared.m_upstreams.all()) {
        const load_report& report = item.m_load.last_report();
        out.m_rows.push_back(
            {item.m_address.text(), item.m_service, text(report.m_used),
             text(report.m_slots), text(report.m_queue),
             text(item.m_load.in_flight()), text(item.m_load.penalty(now)),
             age_text(item.m_load.report_age(now)),
             text(item.m_load.smoothed_latency().count()),
             yes_no(item.m_load.distrusted())});
    }
    return out;
}

table inspector::shares() {
    table out{{"upstream", "service", "kind", "limit", "owned", "used"}, {}};
    const document& config = m_shared.m_config.current();
    for (const auto& [key, item] : m_shared.m_upstreams.all()) {
        const service* of = config.find_service(item.m_service);
        if (!of)
            continue;
        for (const auto kind :
             {share_kind::cold, share_kind::bulk, share_kind::probe}) {
            const std::uint32_t limit = router::limit_of(*of, kind);
            const auto used = item.m_share_use[static_cast<std::size_t>(kind)];
            out.m_rows.push_back(
                {item.m_address.text(), item.m_service,
                 std::string{name_of(kind)}, text(limit),
                 text(m_shared.m_fleet.usable(key, kind, limit)), text(used)});
        }
    }
    return out;
}

table inspector::config() {
    const config_adoption& of = m_shared.m_config;
    return {{"revision", "change", "confirmed_ms", "refused_revision"},
            {{text_of(of.position()), of.current().m_change_id,
              age_text(of.age(io::event_loop::now())),
              text_of(of.refused_position())}}};
}

table inspector::events() {
    table out{{"stamp", "sequence", "kind", "subject", "detail"}, {}};
    for (const event& item : m_shared.m_journal.ring().events())
        out.m_rows.push_back({text(item.m_stamp), text(item.m_sequence),
                              std::string{name_of(item.m_kind)}, item.m_subject,
                              item.m_detail});
    return out;
}

table inspector::explain(const explain_query& query) {
    table out{{"upstream", "zone", "state", "in_flight", "penalty",
               "preference", "share", "verdict"},
              {}};
    const document& config = m_shared.m_config.current();
    const rule* under = classify(
        config.m_rules, query.m_method, query.m_path,
        query.m_header == "Host" ? std::string_view{query.m_header_value}
                                 : std::string_view{},
        [&](std::string_view name) -> std::string_view {
            if (name != query.m_header)
                return {};
            return query.m_header_value;
        });
    if (!under) {
        out.m_rows.push_back(
            {"-", "-", "-", "-", "-", "-", "-", "no rule matches"});
        return out;
    }
    out.m_rows.push_back(
        {"rule " + under->m_name, "-", std::string{name_of(under->m_class)},
         "-", "-", "-", "-",
         "service " + under->m_service + ", " +
             (under->m_idempotent ? "idempotent" : "at most once") +
             ", deadline " + text(to_ms(under->m_deadline)) + " ms"});
    const std::string& name = under->m_split.empty()
                                  ? under->m_service
                                  : under->m_split.front().m_service;
    const service* of = config.find_service(name);
    const time_point now = io::event_loop::now();
    for (const upstream_id key : m_shared.m_upstreams.of_service(name)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        std::optional<share_kind> share;
        const exclusion why =
            m_router.exclusion_of(item, *of, under->m_class, now, share);
        out.m_rows.push_back({item.m_address.text(), item.m_zone,
                              std::string{name_of(item.m_load.state(now))},
                              text(item.m_load.in_flight()),
                              text(item.m_load.penalty(now)),
                              text(item.m_preference),
                              share ? std::string{name_of(*share)} : "-",
                              std::string{name_of(why)}});
    }
    return clean(std::move(out));
}

} // namespace skylark::entry
