// Answers to the queries about decisions: explain, and roll-outs.
#include <cmath>

#include <skylark/rule/classify.hpp>

#include "entry/inspector.hpp"
#include "entry/table_text.hpp"

namespace skylark::entry {

using internal::clean;
using internal::text;

namespace {
constexpr double percent = 100.0;
} // namespace

table inspector::rollouts_of_services() {
    table out{{"service", "target", "stage", "verdict", "share_percent",
               "elapsed_ms", "duration_ms", "requests", "target_requests",
               "responses", "bad"},
              {}};
    const time_point now = io::event_loop::now();
    for (auto& [service, state] : m_shared.m_rollouts.all()) {
        const exposure& sums = state.m_ledger.total();
        out.m_rows.push_back(
            {service, state.m_order.m_target_version,
             std::string{name_of(state.m_order.m_stage)},
             std::string{name_of(state.m_verdict)},
             text(std::llround(state.m_plan.m_target_share * percent)),
             text(to_ms(now - state.m_began)),
             text(to_ms(state.m_order.m_duration)), text(sums.m_requests),
             text(sums.m_target_requests), text(sums.target_responses()),
             text(sums.target_bad())});
    }
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
    if (!config.m_teams.empty())
        out.m_rows.push_back({"key", "-", "-", "-", "-", "-", "-",
                              under->m_public ? "not needed, the rule is public"
                                              : "needs the key of a team"});
    for (const auto& [service, state] : m_shared.m_rollouts.all())
        if (service == name)
            out.m_rows.push_back(
                {"roll-out to " + state.m_order.m_target_version, "-",
                 std::string{name_of(state.m_order.m_stage)}, "-", "-", "-",
                 "-",
                 text(std::llround(state.m_plan.m_target_share * percent)) +
                     " percent of the requests, verdict " +
                     std::string{name_of(state.m_verdict)}});
    const service* of = config.find_service(name);
    const time_point now = io::event_loop::now();
    for (const upstream_id key : m_shared.m_upstreams.of_service(name)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        std::optional<share_kind> share;
        const exclusion why =
            m_router.exclusion_of(item, *of, under->m_class, now, share);
        out.m_rows.push_back(
            {item.m_address.text(), item.m_zone,
             std::string{name_of(item.m_load.state(now))},
             text(item.m_load.in_flight()), text(item.m_load.penalty(now)),
             text(item.m_preference),
             share ? std::string{name_of(*share)} : "-",
             std::string{name_of(why)} +
                 (item.m_version.empty() ? ""
                                         : ", version " + item.m_version)});
    }
    return clean(std::move(out));
}

} // namespace skylark::entry
