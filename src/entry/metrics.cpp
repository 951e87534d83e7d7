// Counters and gauges of one entry, by prometheus-cpp.
#include "entry/metrics.hpp"

#include <array>
#include <vector>

#include <prometheus/counter.h>
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

// In the order of the enumerations.
constexpr std::array<description, 22> counters{{
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
}};

constexpr std::array<description, 10> gauges{{
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
}};

} // namespace

struct metrics::store {
    prometheus::Registry m_registry;
    std::vector<prometheus::Counter*> m_finished;  // class x outcome
    std::vector<prometheus::Histogram*> m_latency; // by class
    prometheus::Histogram* m_config_delay{};
    std::vector<prometheus::Counter*> m_counters;
    std::vector<prometheus::Gauge*> m_gauges;
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

void metrics::count(counter which, std::uint64_t by) {
    m_store->m_counters[static_cast<std::size_t>(which)]->Increment(
        static_cast<double>(by));
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
