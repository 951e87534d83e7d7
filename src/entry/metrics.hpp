// Counters and gauges of one entry, by prometheus-cpp.
#ifndef SKYLARK_ENTRY_METRICS_HPP
#define SKYLARK_ENTRY_METRICS_HPP

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

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
    unauthenticated,
    allowance_messages,
    iterations,
    slow_iterations
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
    connections,
    rollout_share,
    rollout_stage,
    resident_bytes,
    resident_peak_bytes,
    machine_memory_bytes,
    longest_iteration_ms,
    unread_answer_bytes,
    unbounded_answers,
    socket_buffer_bytes
};

/*! @brief What happened to the requests of a team that has a rate limit. */
struct team_figures {
    std::string m_name;
    std::uint64_t m_granted{};
    std::uint64_t m_refused{};
    std::uint64_t m_asked{}; //!< questions for tokens
    std::size_t m_waiting{};
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

    /*! @brief Replaces the teams that are shown, with their figures. */
    void show(std::span<const team_figures> teams);

    /*! @brief Counts a request that was sent to another zone. Beyond 32
     *  services, here and in set_zone_share(), the label is "other". */
    void sent_to_other_zone(const std::string& service);

    /*! @brief Part of a service's requests that leaves the zone directly. */
    void set_zone_share(const std::string& service, double share);

    /*! @brief Counts an answer that this entry broke off.
     *  @param cause deadline, stalled or unread; others count as "other" */
    void broke_off(std::string_view cause);

    void count(counter which, std::uint64_t by = 1);
    /*! @brief Raises a counter to a total that is kept elsewhere. */
    void count_up_to(counter which, std::uint64_t total);
    void set(gauge which, std::int64_t value);

    /*! @brief The page in Prometheus' text format. */
    [[nodiscard]] std::string page() const;

private:
    struct store;
    [[nodiscard]] const std::string& label_of(const std::string& service);
    std::unique_ptr<store> m_store;
};

} // namespace skylark::entry

#endif
