// HTTP for operators and peers.
#include "entry/control.hpp"

#include <array>

#include <nlohmann/json.hpp>

namespace skylark::entry {

namespace {
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
} // namespace

control::control(context& shared, forwarder& data_path, configurator& config)
    : m_shared{shared}, m_forwarder{data_path}, m_configurator{config},
      m_server{shared.m_loop, {defaults::document_bytes, seconds{60}}} {
    m_server.handle({[this](exchange_id key, const io::request_view& request) {
                         serve(key, request);
                     },
                     {},
                     {}});
}

parsed<void> control::listen() {
    BOOST_OUTCOME_TRYV(m_server.listen(m_shared.m_settings.m_control));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void control::serve(exchange_id key, const io::request_view& request) {
    const std::string_view path = request.m_path;
    if (path == "/healthz")
        text(key, status_ok, "ok\n");
    else if (path == "/readyz")
        answer_ready(key);
    else if (path == "/metrics")
        text(key, status_ok, m_shared.m_metrics.page());
    else if (path == "/events")
        answer_events(key);
    else if (path == "/peer/config")
        answer_config(key);
    else if (path == "/peer/instances")
        answer_instances(key);
    else
        text(key, status_not_found,
             "no such path; /healthz /readyz /metrics /events /query\n");
}

void control::text(exchange_id key, int status, std::string_view body) {
    const std::array headers{io::header{"Content-Type", "text/plain"}};
    m_server.answer(key, status, headers, body);
}

void control::json(exchange_id key, std::uint64_t revision,
                   std::string_view body) {
    const std::array headers{
        io::header{"Content-Type", "application/json"},
        io::header{"Config-Revision", std::to_string(revision)}};
    m_server.answer(key, status_ok, headers, body);
}

void control::answer_ready(exchange_id key) {
    if (!m_shared.m_config.ready())
        text(key, status_unavailable, "no configuration yet\n");
    else if (m_shared.m_draining)
        text(key, status_unavailable, "draining\n");
    else if (m_shared.m_isolated)
        text(key, status_unavailable, "neither store nor majority\n");
    else if (m_shared.m_fleet.members().state() != member_state::active)
        text(key, status_unavailable, "joining\n");
    else
        text(key, status_ok, "ready\n");
}

void control::answer_config(exchange_id key) {
    json(key, m_shared.m_config.revision(), m_shared.m_config.text());
}

void control::answer_instances(exchange_id key) {
    json(key, m_shared.m_instances.m_index,
         platform::format_instances(m_shared.m_instances));
}

void control::answer_events(exchange_id key) {
    const event_ring& ring = m_shared.m_journal.ring();
    nlohmann::json out{
        {"entry", m_shared.m_settings.m_name},
        {"incarnation", m_shared.m_fleet.members().self().m_name.m_incarnation},
        {"lost", ring.lost()},
        {"events", nlohmann::json::array()}};
    for (const event& item : ring.events())
        out["events"].push_back({{"stamp", item.m_stamp},
                                 {"sequence", item.m_sequence},
                                 {"kind", name_of(item.m_kind)},
                                 {"subject", item.m_subject},
                                 {"detail", item.m_detail}});
    json(key, m_shared.m_config.revision(), out.dump());
}

} // namespace skylark::entry
