// Stand-in for an upstream: slots, a queue, service times that shift, cold
// start, drain, shed, misbehaviour on demand, and a ledger of executions.
#ifndef STANDIN_UPSTREAM_HPP
#define STANDIN_UPSTREAM_HPP

#include <deque>
#include <fstream>
#include <map>
#include <string>

#include <skylark/core/id_map.hpp>
#include <skylark/core/random.hpp>
#include <skylark/load/report.hpp>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "standin/query.hpp"

namespace standin {

/*! @brief Shape of one upstream. */
struct upstream_shape {
    std::uint32_t m_slots{6};
    std::uint32_t m_cold_slots{1};
    std::int64_t m_service_us{5000}; //!< mean, exponentially distributed
    std::int64_t m_cold_ms{};        //!< length of a cold start
    std::uint32_t m_queue_limit{512};
    double m_slow_share{0.2};  //!< part of the time that it is slow
    double m_slow_factor{1.0}; //!< service time while slow
    std::uint64_t m_seed{1};
    std::string m_ledger; //!< file that gets a line for each execution
};

/*! @brief How it misbehaves. */
enum class upstream_mode : std::uint8_t {
    normal,
    drain,     //!< refuses new work with the refusal header
    shed,      //!< the same, for overload
    fail_fast, //!< answers 500 at once
    truncate,  //!< breaks each answer off halfway
    late,      //!< answers after two seconds
    stuck,     //!< executes and never answers
    lie        //!< reports idle whatever the load
};

/*! @brief The stand-in. */
class upstream {
public:
    upstream(skylark::io::event_loop& loop, const upstream_shape& shape);

    skylark::parsed<skylark::address> listen(skylark::address where);

private:
    struct job {
        std::string m_key;
        std::string m_target;
        std::size_t m_size{};
        bool m_chunked{};
        bool m_running{};
        bool m_head{};
        std::int64_t m_service_us{};
        skylark::time_point m_expires;
        skylark::timer_id m_timer;
        std::size_t m_left{}; // body bytes that are not yet handed over
    };

    void serve(skylark::exchange_id key,
               const skylark::io::request_view& request);
    void admin(skylark::exchange_id key, const query& target);
    void stats(skylark::exchange_id key);
    bool refused(skylark::exchange_id key);
    void enqueue(skylark::exchange_id key,
                 const skylark::io::request_view& request);
    void run_next();
    void run(skylark::exchange_id key);
    void finish(skylark::exchange_id key);
    void send_piece(skylark::exchange_id key);
    void leave(skylark::exchange_id key);
    void drop_abandoned();
    void shift_speed();
    void note_cold_load();
    void turn_cold();
    void refuse(skylark::exchange_id key, const std::string& why);
    [[nodiscard]] std::uint32_t slots_now() const;
    [[nodiscard]] skylark::load_report report() const;
    [[nodiscard]] std::int64_t service_time(const job& of);

    skylark::io::event_loop& m_loop;
    skylark::io::http_server m_server;
    upstream_shape m_shape;
    skylark::random_source m_random;
    upstream_mode m_mode{upstream_mode::normal};
    std::map<skylark::exchange_id, job> m_jobs;
    std::deque<skylark::exchange_id> m_queue;
    std::uint32_t m_used{};
    bool m_slow{};
    bool m_cold{};
    std::uint64_t m_incarnation{};
    skylark::time_point m_warm_at;
    skylark::time_point m_cold_since;
    std::ofstream m_ledger;
    std::uint64_t m_served{};
    std::uint64_t m_probes{};
    std::uint64_t m_requests{};
    std::uint64_t m_cold_max{};  // most requests at hand while cold
    std::uint64_t m_cold_over{}; // arrivals above what the cold one bears
    std::uint64_t m_bulk_max{};  // most bulk requests at hand
    std::uint64_t m_probe_max{}; // most probes in one second
    std::int64_t m_probe_second{};
    std::uint64_t m_probe_count{};
    skylark::time_point m_last_request;
};

} // namespace standin

#endif
