// Counters and gauges of one entry, by prometheus-cpp.
#ifndef SKYLARK_ENTRY_METRICS_HPP
#define SKYLARK_ENTRY_METRICS_HPP

#include <cstdint>
#include <memory>
#include <string>

#include <skylark/config/rule.hpp>
#include <skylark/core/time.hpp>

namespace skylark::entry {

/*! @brief How a request ended, for counting. */
enum class outcome : std::uint8_t {
    answered,
    not_run,
    unknown,
    broken,   //!< the answer broke off after it had begun
    abandoned //!< the caller left
};

/*! @brief Things that are only counted. */
enum class counter : std::uint8_t {
    retries,
    hedges,
    hedges_won,
    cancels,
    connects,
    connect_failures,
    probes,
    heartbeats_sent,
    heartbeats_received,
    heartbeat_bytes_sent,
    heartbeat_bytes_received,
    bad_datagrams,
    store_reads,
    store_failures,
    pauses,
    stale_connections_closed,
    rejected,
    discarded,
    config_fetch_failures,
    answered_instead,
    answers_skipped,
    unauthenticated
};

/*! @brief Values that are set anew. */
enum class gauge : std::uint8_t {
    requests,
    queued,
    members,
    config_revision,
    config_age_ms,
    config_pending_ms,
    has_majority,
    isolated,
    upstreams_warm,
    connections
};

/*! @brief All metrics of the process. */
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /*! @brief Counts a finished request.
     *  @param of its class
     *  @param how its outcome
     *  @param took from arrival to the beginning of the answer */
    void finished(request_class of, outcome how, duration took);

    /*! @brief Counts an adopted configuration.
     *  @param delay since a peer announced it first */
    void adopted(duration delay);

    void count(counter which, std::uint64_t by = 1);
    void set(gauge which, std::int64_t value);

    /*! @brief The page in Prometheus' text format. */
    [[nodiscard]] std::string page() const;

private:
    struct store;
    std::unique_ptr<store> m_store;
};

} // namespace skylark::entry

#endif
