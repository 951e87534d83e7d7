// Counters and gauges of one entry, by prometheus-cpp.
#include "entry/metrics.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>
#include <vector>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <skylark/config/document.hpp>

namespace skylark::entry {

namespace {

struct description {
    const char* m_name;
    const char* m_help;
};

constexpr std::array outcomes{"answered", "not_run", "unknown", "broken",
                              "abandoned"};

// The last one stands for all others.
constexpr std::array<std::string_view, 4> break_off_causes{
    "deadline", "stalled", "unread", "other"};

// In the order of the enumerations.
constexpr std::array<description, 25> counters{{
    {"skylark_retries_total", "attempts after a failed one"},
    {"skylark_hedges_total", "second attempts beside a slow one"},
    {"skylark_hedges_won_total", "hedges that answered first"},
    {"skylark_cancels_total", "attempts that were cancelled"},
    {"skylark_connects_total", "connections opened to upstreams"},
    {"skylark_connect_failures_total", "connections that failed to open"},
    {"skylark_probes_total", "requests to load endpoints"},
    {"skylark_heartbeats_sent_total", "heartbeats sent"},
    {"skylark_heartbeats_received_total", "heartbeats received"},
    {"skylark_heartbeat_sent_bytes_total", "payload of heartbeats sent"},
    {"skylark_heartbeat_received_bytes_total", "payload received"},
    {"skylark_bad_datagrams_total", "datagrams that are no heartbeat"},
    {"skylark_store_reads_total", "reads of the platform's store"},
    {"skylark_store_failures_total", "reads without a usable answer"},
    {"skylark_pauses_total", "times this process did not run"},
    {"skylark_stale_connections_total", "silent connections closed"},
    {"skylark_rejected_total", "requests that the HTTP server rejected"},
    {"skylark_discarded_total", "connections that ended with unanswered input"},
    {"skylark_config_fetch_failures_total",
     "fetches from peers that brought nothing usable"},
    {"skylark_answered_instead_total",
     "own answers to requests that upstreams may have been working on"},
    {"skylark_answers_skipped_total",
     "upstream responses that named another request"},
    {"skylark_unauthenticated_total",
     "requests refused without the key of a team"},
    {"skylark_allowance_messages_total", "messages sent about tokens"},
    {"skylark_iterations_total", "iterations of the event loop"},
    {"skylark_slow_iterations_total",
     "iterations of the event loop that worked for over 100 ms"},
}};

constexpr std::array<description, 19> gauges{{
    {"skylark_requests", "requests at hand"},
    {"skylark_queued", "requests that wait for an upstream"},
    {"skylark_members", "entries in the view"},
    {"skylark_config_revision", "revision in force"},
    {"skylark_config_age_ms", "time since the revision was confirmed"},
    {"skylark_config_pending_ms", "time since a newer one was announced"},
    {"skylark_has_majority", "1 while a majority acknowledges"},
    {"skylark_isolated", "1 while new work is refused"},
    {"skylark_upstreams_warm", "upstreams that take full load"},
    {"skylark_connections", "connections to upstreams"},
    {"skylark_rollout_share", "percent of requests for a new version"},
    {"skylark_rollout_stage",
     "of roll-outs in progress: 1 ordered, 2 canary, 3 promoted; 0 none"},
    {"skylark_resident_bytes", "resident memory of the process"},
    {"skylark_resident_peak_bytes", "its largest value since the start"},
    {"skylark_machine_memory_bytes", "memory of the machine; 0: not known"},
    {"skylark_longest_iteration_ms",
     "longest work of one iteration of the event loop in the last minute"},
    {"skylark_unread_answer_bytes",
     "bytes of answers that callers have not read"},
    {"skylark_unbounded_answers",
     "answers in progress without a length or with over 1 MB to come"},
    {"skylark_socket_buffer_bytes",
     "memory that the kernel keeps for connections of callers and upstreams"},
}};

// Gauges, as a team that is not shown any more takes its series with it.
constexpr std::array<description, 4> team_gauges{{
    {"skylark_team_granted", "requests of a team that got a token"},
    {"skylark_team_refused", "requests of a team over its rate limit"},
    {"skylark_team_asked", "questions for tokens of a team"},
    {"skylark_team_waiting", "requests of a team that wait for a token"},
}};

} // namespace

struct metrics::store {
    prometheus::Registry m_registry;
    std::vector<prometheus::Counter*> m_finished;  // class x outcome
    std::vector<prometheus::Histogram*> m_latency; // by class
    prometheus::Histogram* m_config_delay{};
    std::vector<prometheus::Counter*> m_counters;
    std::vector<prometheus::Gauge*> m_gauges;
    // Of the teams that are shown.
    std::array<prometheus::Family<prometheus::Gauge>*, 4> m_team_families{};
    std::vector<std::array<prometheus::Gauge*, 4>> m_teams;
    prometheus::Family<prometheus::Counter>* m_sent_to_other_zones{};
    prometheus::Family<prometheus::Gauge>* m_zone_shares{};
    std::vector<prometheus::Counter*> m_broken_off; // by cause
    std::set<std::string> m_services;               // with a label of their own
};

metrics::metrics() : m_store{std::make_unique<store>()} {
    auto& registry = m_store->m_registry;
    auto& finished = prometheus::BuildCounter()
                         .Name("skylark_requests_total")
                         .Help("finished requests")
                         .Register(registry);
    auto& latency = prometheus::BuildHistogram()
                        .Name("skylark_answer_seconds")
                        .Help("from arrival to the answer's beginning")
                        .Register(registry);
    const prometheus::Histogram::BucketBoundaries edges{
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2};
    for (std::size_t i = 0; i < request_class_count; ++i) {
        const std::string name{name_of(static_cast<request_class>(i))};
        for (const char* outcome : outcomes)
            m_store->m_finished.push_back(
                &finished.Add({{"class", name}, {"outcome", outcome}}));
        m_store->m_latency.push_back(&latency.Add({{"class", name}}, edges));
    }
    const prometheus::Histogram::BucketBoundaries delay_edges{
        0.05, 0.1, 0.2, 0.5, 1, 2, 3, 5, 10};
    m_store->m_config_delay =
        &prometheus::BuildHistogram()
             .Name("skylark_config_delay_seconds")
             .Help("from a configuration's announcement to its adoption")
             .Register(registry)
             .Add({}, delay_edges);
    for (std::size_t i = 0; i < team_gauges.size(); ++i)
        m_store->m_team_families[i] = &prometheus::BuildGauge()
                                           .Name(team_gauges[i].m_name)
                                           .Help(team_gauges[i].m_help)
                                           .Register(registry);
    m_store->m_sent_to_other_zones =
        &prometheus::BuildCounter()
             .Name("skylark_sent_to_other_zones_total")
             .Help("requests sent to upstreams of other zones")
             .Register(registry);
    m_store->m_zone_shares =
        &prometheus::BuildGauge()
             .Name("skylark_zone_share")
             .Help("part of the requests that leaves the zone directly")
             .Register(registry);
    auto& broken_off = prometheus::BuildCounter()
                           .Name("skylark_broken_off_total")
                           .Help("answers that this entry broke off")
                           .Register(registry);
    for (const std::string_view cause : break_off_causes)
        m_store->m_broken_off.push_back(
            &broken_off.Add({{"cause", std::string{cause}}}));
    for (const auto& item : counters)
        m_store->m_counters.push_back(&prometheus::BuildCounter()
                                           .Name(item.m_name)
                                           .Help(item.m_help)
                                           .Register(registry)
                                           .Add({}));
    for (const auto& item : gauges)
        m_store->m_gauges.push_back(&prometheus::BuildGauge()
                                         .Name(item.m_name)
                                         .Help(item.m_help)
                                         .Register(registry)
                                         .Add({}));
}

metrics::~metrics() = default;

const std::string& metrics::label_of(const std::string& service) {
    constexpr std::size_t most_services = 32;
    static const std::string other = "other";
    auto& known = m_store->m_services;
    if (known.contains(service) || known.size() < most_services)
        return *known.insert(service).first;
    return other;
}

void metrics::sent_to_other_zone(const std::string& service) {
    m_store->m_sent_to_other_zones->Add({{"service", label_of(service)}})
        .Increment();
}

void metrics::set_zone_share(const std::string& service, double share) {
    m_store->m_zone_shares->Add({{"service", label_of(service)}}).Set(share);
}

void metrics::finished(request_class of, outcome how, duration took) {
    const auto row = static_cast<std::size_t>(of);
    const auto column = static_cast<std::size_t>(how);
    m_store->m_finished[row * outcomes.size() + column]->Increment();
    const std::chrono::duration<double> seconds_taken = took;
    if (how == outcome::answered)
        m_store->m_latency[row]->Observe(seconds_taken.count());
}

void metrics::adopted(duration delay) {
    const std::chrono::duration<double> seconds_taken = delay;
    m_store->m_config_delay->Observe(seconds_taken.count());
}

void metrics::show(std::span<const team_figures> teams) {
    auto& families = m_store->m_team_families;
    for (const auto& series : m_store->m_teams)
        for (std::size_t i = 0; i < families.size(); ++i)
            families[i]->Remove(series[i]);
    m_store->m_teams.clear();
    for (const team_figures& item : teams) {
        const std::array values{item.m_granted, item.m_refused, item.m_asked,
                                std::uint64_t{item.m_waiting}};
        auto& series = m_store->m_teams.emplace_back();
        for (std::size_t i = 0; i < families.size(); ++i) {
            series[i] = &families[i]->Add({{"team", item.m_name}});
            series[i]->Set(static_cast<double>(values[i]));
        }
    }
}

void metrics::broke_off(std::string_view cause) {
    const auto* const found = std::find(
        break_off_causes.begin(), std::prev(break_off_causes.end()), cause);
    const auto place = std::distance(break_off_causes.begin(), found);
    m_store->m_broken_off[static_cast<std::size_t>(place)]->Increment();
}

void metrics::count(counter which, std::uint64_t by) {
    m_store->m_counters[static_cast<std::size_t>(which)]->Increment(
        static_cast<double>(by));
}

void metrics::count_up_to(counter which, std::uint64_t total) {
    auto& counted = *m_store->m_counters[static_cast<std::size_t>(which)];
    counted.Increment(static_cast<double>(total) - counted.Value());
}

void metrics::set(gauge which, std::int64_t value) {
    m_store->m_gauges[static_cast<std::size_t>(which)]->Set(
        static_cast<double>(value));
}

std::string metrics::page() const {
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(m_store->m_registry.Collect());
}

} // namespace skylark::entry
