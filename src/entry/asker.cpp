// Asks single upstreams for their load.
#include "entry/asker.hpp"

#include <algorithm>
#include <utility>

#include "core/overloaded.hpp"

namespace skylark::entry {

namespace {
// A question without an answer for longer has failed; far above a round trip
// between zones and a connection's set-up.
constexpr auto answer_limit = milliseconds{250};
} // namespace

void asker::ask(upstream& whom, std::string_view path, callback done) {
    const question_id key = m_questions.emplace();
    question& made = *m_questions.find(key);
    made.m_upstream = whom.m_id;
    made.m_done = std::move(done);
    made.m_asked = io::event_loop::now();
    made.m_output.append("GET ").append(path).append(" HTTP/1.1\r\nHost: ");
    made.m_output.append(whom.m_address.text()).append("\r\n\r\n");
    made.m_timer = m_shared.m_loop.after(
        answer_limit, [this, key] { finish(key, false, false); });
    m_shared.m_metrics.count(counter::probes);
    const auto handler = [this, key](connection_id,
                                     const io::client_event& what) {
        handle(key, what);
    };
    constexpr bool fresh_only = false;
    if (const auto kept = m_pool.take(whom, fresh_only)) {
        made.m_connection = *kept;
        made.m_reused = true;
        m_client.rebind(*kept, handler);
        send(key);
        return;
    }
    ++whom.m_connections;
    m_shared.m_metrics.count(counter::connects);
    made.m_connection = m_client.open(whom.m_address, handler);
}

void asker::send(question_id key) {
    question& of = *m_questions.find(key);
    m_client.send(of.m_connection, std::move(of.m_output), false);
}

void asker::handle(question_id key, const io::client_event& what) {
    question* of = m_questions.find(key);
    if (!of)
        return;
    std::visit(overloaded{[&](const io::connected&) { send(key); },
                          [&](const io::head_received& event) {
                              of->m_signs = std::visit(
                                  [&](const auto& kind) {
                                      return kind.read_health(event.m_head, "");
                                  },
                                  m_shared.m_dialect);
                              of->m_usable = !of->m_signs.m_mismatched;
                              if (!of->m_usable)
                                  finish(key, false, false);
                          },
                          [&](const io::body_received& event) {
                              of->m_body += event.m_piece;
                          },
                          [&](const io::response_complete& event) {
                              finish(key, of->m_usable, event.m_reusable);
                          },
                          [&](const io::connection_failed&) {
                              finish(key, false, false);
                          }},
               what);
}

void asker::finish(question_id key, bool answered, bool reusable) {
    question* found = m_questions.find(key);
    if (!found)
        return;
    const question of = std::move(*found);
    m_questions.erase(key);
    m_shared.m_loop.cancel(of.m_timer);
    upstream* from = m_shared.m_upstreams.find(of.m_upstream);
    if (from && reusable) {
        m_pool.keep(*from, of.m_connection);
    } else {
        m_client.close(of.m_connection);
        if (from)
            --from->m_connections;
    }
    if (from && answered)
        take(*from, of);
    else if (from)
        fail(*from, of);
    of.m_done();
}

void asker::take(upstream& from, const question& of) {
    const health_info& signs = of.m_signs;
    const bool other =
        !signs.m_instance.empty() && signs.m_instance != from.m_instance;
    from.m_unhealthy = other || !signs.m_healthy;
    from.m_silent_load = !signs.m_report;
    const time_point now = io::event_loop::now();
    if (signs.m_cold_start_left)
        from.m_cold_until = now + *signs.m_cold_start_left;
    if (signs.m_report && !other)
        from.m_load.update_report(*signs.m_report, of.m_asked);
    if (!other && signs.m_healthy)
        from.m_load.clear_failures();
}

void asker::fail(upstream& from, const question& of) {
    from.m_load.record_failure();
    // Other connections of the same age may have gone silent with this one.
    if (of.m_reused)
        m_pool.suspect(from, of.m_asked);
}

} // namespace skylark::entry
