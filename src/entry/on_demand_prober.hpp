/*! @file
 *  Load probes of single upstreams before a request is sent, on the
 *  connections that requests use. */
#ifndef SKYLARK_ENTRY_ON_DEMAND_PROBER_HPP
#define SKYLARK_ENTRY_ON_DEMAND_PROBER_HPP

#include <functional>
#include <string>

#include <skylark/core/id_map.hpp>

#include "entry/connection_pool.hpp"
#include "entry/context.hpp"
#include "io/http_client.hpp"

namespace skylark::entry {

/*! @brief Requests the current load of one upstream over a pooled or new
 *  connection. A response also shows that the connection works; it returns to
 *  the pool as the newest one, so that the request that follows uses it, unless
 *  the response was a refusal. */
class on_demand_prober {
public:
    using callback = std::function<void()>;

    on_demand_prober(context& shared, io::http_client& client,
                     connection_pool& pool)
        : m_shared{shared}, m_client{client}, m_pool{pool} {}

    /*! @brief Sends a probe.
     *  @param target upstream to probe
     *  @param path health path of its service
     *  @param done called once, after the load state of the upstream was
     *  updated or the probe failed; never before this call returns */
    void probe(upstream& target, std::string_view path, callback done);

private:
    using probe_id = id<struct probe_tag>;
    struct pending_probe {
        upstream_id m_upstream;
        connection_id m_connection;
        std::string m_output;
        callback m_done;
        timer_id m_timer;
        time_point m_started;
        time_point m_sent; // when the connection was ready
        std::size_t m_body_size{};
        bool m_reused{}; // the connection was idle before
        bool m_usable{}; // the response head belongs to this probe
        health_info m_signs;
    };

    void handle(probe_id key, const io::client_event& what);
    void finish(probe_id key, bool answered, bool reusable);
    void send(probe_id key);
    [[nodiscard]] time_point taken_at(const upstream& target,
                                      const pending_probe& ended,
                                      time_point now) const;
    void apply_response(upstream& target, const pending_probe& ended);
    void record_failure(upstream& target, const pending_probe& ended);

    context& m_shared;
    io::http_client& m_client;
    connection_pool& m_pool;
    id_map<probe_id, pending_probe> m_probes;
};

} // namespace skylark::entry

#endif
