// Load probes of single upstreams before a request is sent.
#include "entry/on_demand_prober.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"

namespace skylark::entry {

namespace {
// A probe without a response within this time has failed. Far longer than a
// round trip between zones plus the time to open a connection.
constexpr auto probe_timeout = milliseconds{250};
constexpr std::size_t max_body = 4096; // bytes
} // namespace

void on_demand_prober::probe(upstream& target, std::string_view path,
                             callback done) {
    const probe_id key = m_probes.emplace();
    pending_probe& created = *m_probes.find(key);
    created.m_upstream = target.m_id;
    created.m_done = std::move(done);
    created.m_started = io::event_loop::now();
    created.m_output.append("GET ").append(path).append(" HTTP/1.1\r\nHost: ");
    created.m_output.append(target.m_address.text()).append("\r\n\r\n");
    created.m_timer = m_shared.m_loop.after(
        probe_timeout, [this, key] { finish(key, false, false); });
    m_shared.m_metrics.count(counter::probes);
    const auto handler = [this, key](connection_id,
                                     const io::client_event& what) {
        handle(key, what);
    };
    constexpr bool fresh_only = false;
    if (const auto kept = m_pool.take(target, fresh_only)) {
        created.m_connection = *kept;
        created.m_reused = true;
        m_client.rebind(*kept, handler);
        send(key);
        return;
    }
    ++target.m_connections;
    m_shared.m_metrics.count(counter::connects);
    created.m_connection = m_client.open(target.m_address, handler);
}

void on_demand_prober::send(probe_id key) {
    pending_probe& pending = *m_probes.find(key);
    pending.m_sent = io::event_loop::now();
    if (const upstream* target = m_shared.m_upstreams.find(pending.m_upstream);
        target && !pending.m_reused)
        m_shared.m_paths.add_set_up(target->m_zone,
                                    pending.m_sent - pending.m_started);
    m_client.send(pending.m_connection, std::move(pending.m_output), false);
}

void on_demand_prober::handle(probe_id key, const io::client_event& what) {
    pending_probe* pending = m_probes.find(key);
    if (!pending)
        return;
    std::visit(overloaded{[&](const io::connected&) { send(key); },
                          [&](const io::head_received& event) {
                              pending->m_signs = std::visit(
                                  [&](const auto& kind) {
                                      return kind.read_health(event.m_head, "");
                                  },
                                  m_shared.m_dialect);
                              pending->m_usable =
                                  !pending->m_signs.m_mismatched;
                              if (!pending->m_usable)
                                  finish(key, false, false);
                          },
                          // The load is in the head.
                          [&](const io::body_received& event) {
                              pending->m_body_size += event.m_piece.size();
                              if (pending->m_body_size > max_body)
                                  finish(key, false, false);
                          },
                          [&](const io::response_complete& event) {
                              finish(key, pending->m_usable, event.m_reusable);
                          },
                          [&](const io::connection_failed&) {
                              finish(key, false, false);
                          }},
               what);
}

void on_demand_prober::finish(probe_id key, bool answered, bool reusable) {
    pending_probe* found = m_probes.find(key);
    if (!found)
        return;
    const pending_probe ended = std::move(*found);
    m_probes.erase(key);
    m_shared.m_loop.cancel(ended.m_timer);
    upstream* target = m_shared.m_upstreams.find(ended.m_upstream);
    // A faulty upstream may write a refusal once more, where the response to
    // the next request is expected.
    const bool refused = !ended.m_signs.m_healthy;
    if (target && reusable && !refused) {
        m_pool.keep(*target, ended.m_connection);
    } else {
        m_client.close(ended.m_connection);
        if (target)
            --target->m_connections;
    }
    if (target && answered)
        apply_response(*target, ended);
    else if (target)
        record_failure(*target, ended);
    ended.m_done();
}

// Earliest time at which the upstream can have made its report: the probe had
// to arrive first. Time that the response took beyond the path counts as the
// report's age, because nothing shows when in it the report was made.
time_point on_demand_prober::taken_at(const upstream& target,
                                      const pending_probe& ended,
                                      time_point now) const {
    return std::min(now,
                    ended.m_sent + m_shared.m_paths.one_way(target.m_zone));
}

void on_demand_prober::apply_response(upstream& target,
                                      const pending_probe& ended) {
    const health_info& signs = ended.m_signs;
    const bool other_instance =
        !signs.m_instance.empty() && signs.m_instance != target.m_instance;
    target.m_other_instance = other_instance;
    const time_point now = io::event_loop::now();
    m_shared.m_paths.add_round_trip(target.m_zone, now - ended.m_sent);
    if (!other_instance) {
        target.m_health.checked(signs.m_healthy);
        apply_availability(signs.m_availability, target, m_shared.m_journal,
                           now);
    }
    target.m_omits_load = !signs.m_report;
    if (signs.m_cold_start_left)
        target.m_cold_until = now + *signs.m_cold_start_left;
    if (signs.m_report && !other_instance)
        target.m_load.update_report(*signs.m_report,
                                    taken_at(target, ended, now));
    if (!other_instance)
        target.m_load.clear_failures();
}

void on_demand_prober::record_failure(upstream& target,
                                      const pending_probe& ended) {
    target.m_load.record_failure();
    // Idle connections that last answered before this probe was sent may be
    // dead as well.
    if (ended.m_reused)
        m_pool.close_stale(target, ended.m_started);
}

} // namespace skylark::entry
