// HTTP for operators and peers.
#include "entry/control.hpp"

#include <array>
#include <optional>

#include <nlohmann/json.hpp>

#include <skylark/command/parse.hpp>

#include "core/foreign_text.hpp"
#include "core/json_text.hpp"
#include "core/overloaded.hpp"
#include "core/parse_number.hpp"
#include "entry/lookup.hpp"
#include "io/http_status.hpp"
#include "peer/codec.hpp"

namespace skylark::entry {

namespace {

// The number in a text; 0 if it is empty, nothing if it is no number.
std::optional<std::uint64_t> number_or_zero(std::string_view text) {
    return text.empty() ? 0 : parse_number<std::uint64_t>(text);
}

// The position that follows a sign in a path.
std::optional<store_position> position_after(char sign, std::string_view path) {
    const auto at = path.find(sign);
    return parse_position(at == std::string_view::npos ? ""
                                                       : path.substr(at + 1));
}

// A transfer to a peer counts until nearly all of it has arrived.
io::server_limits control_limits() {
    constexpr int send_buffer = 64 << 10;
    constexpr int receive_buffer = 64 << 10;
    io::server_limits out;
    out.m_body_bytes = defaults::document_bytes;
    out.m_send_buffer_bytes = send_buffer;
    out.m_receive_buffer_bytes = receive_buffer;
    return out;
}

input_error no_number(std::string place, std::string_view value) {
    return {std::move(place), '"' + std::string{value} + '"', "a number"};
}

} // namespace

control::control(context& shared, forwarder& data_path, configurator& config)
    : m_shared{shared}, m_config{config},
      m_inspector{shared, data_path.routing()}, m_changer{shared, config},
      m_server{shared.m_loop, control_limits()}, m_documents{shared, m_server} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         {},
         [this](exchange_id key, bool complete) {
             m_documents.exchange_ended(key, complete);
         },
         {}});
}

parsed<void> control::listen() {
    BOOST_OUTCOME_TRYV(m_server.listen(m_shared.m_settings.m_control));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void control::serve(exchange_id key, const io::request_view& request) {
    const std::string_view path = request.m_path;
    if (path == "/healthz")
        text(key, io::status::ok, "ok\n");
    else if (path == "/readyz")
        answer_ready(key);
    else if (path == "/metrics")
        text(key, io::status::ok, m_shared.m_metrics.page());
    else if (path == "/events")
        answer_events(key);
    else if (path == "/query")
        answer_query(key, request);
    else if (path.starts_with("/in-force"))
        answer_in_force(key, path);
    else if (path == "/peer/config")
        m_documents.answer(key, request);
    else if (path.starts_with("/peer/instances"))
        answer_instances(key, path);
    else
        text(key, io::status::not_found,
             "no such path; /healthz /readyz /metrics /events /query\n");
}

void control::text(exchange_id key, int status, std::string_view body) {
    const std::array headers{io::header{"Content-Type", "text/plain"}};
    m_server.answer(key, status, headers, body);
}

void control::json(exchange_id key, std::string_view body) {
    const std::array headers{
        io::header{"Content-Type", "application/json"},
        io::header{"Config-Revision", text_of(m_shared.m_config.position())}};
    m_server.answer(key, io::status::ok, headers, body);
}

void control::answer_ready(exchange_id key) {
    const std::string_view why = unready_reason(m_shared);
    if (why.empty())
        text(key, io::status::ok, "ready\n");
    else
        text(key, io::status::unavailable, std::string{why} + "\n");
}

// A peer names the index of the list that it has: /peer/instances?after=7.
void control::answer_instances(exchange_id key, std::string_view path) {
    const auto after = position_after('=', path);
    if (!after) {
        answer_error(key, io::status::bad_request, no_number("after", path));
        return;
    }
    const auto bytes =
        peer::encode(m_config.changes_since(*after), io::event_loop::now());
    const std::array headers{
        io::header{"Content-Type", "application/octet-stream"}};
    m_server.answer(
        key, io::status::ok, headers,
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

void control::answer_query(exchange_id key, const io::request_view& request) {
    const auto read = parse_statement(request.m_body);
    if (!read) {
        answer_error(key, io::status::bad_request, read.error());
        return;
    }
    const auto number = io::find_header(request.m_headers, "if-revision");
    const auto if_revision = number_or_zero(number);
    if (!if_revision) {
        answer_error(key, io::status::bad_request,
                     no_number("If-Revision", number));
        return;
    }
    const std::string change_id{
        io::find_header(request.m_headers, "change-id")};
    if (!is_utf8(change_id)) {
        answer_error(key, io::status::bad_request,
                     {"Change-Id", clean_text(change_id), "UTF-8"});
        return;
    }
    std::visit(overloaded{[&](const show_query& query) {
                              const auto shown = m_inspector.show(query);
                              if (shown)
                                  answer_table(key, shown.value());
                              else
                                  answer_error(key, io::status::bad_request,
                                               shown.error());
                          },
                          [&](const explain_query& query) {
                              answer_table(key, m_inspector.explain(query));
                          },
                          [&](const change_statement& change) {
                              m_changer.run(
                                  change, *if_revision, change_id,
                                  [this, key](const change_result& result) {
                                      answer_change(key, result);
                                  });
                          }},
               read.value());
}

void control::answer_table(exchange_id key, const table& subject) {
    const duration age = m_shared.m_config.age(io::event_loop::now());
    const nlohmann::json out{
        {"entry", m_shared.m_settings.m_name},
        {"revision", m_shared.m_config.position().m_revision},
        {"confirmed_ms_ago", age == duration::max() ? -1 : to_ms(age)},
        {"columns", subject.m_columns},
        {"rows", subject.m_rows}};
    json(key, json_text(out));
}

void control::answer_error(exchange_id key, int status,
                           const input_error& why) {
    const nlohmann::json out{
        {"error",
         {{"place", why.m_place},
          {"value", why.m_value},
          {"expected", why.m_expected}}},
        {"entry", m_shared.m_settings.m_name},
        {"in_force", m_shared.m_config.position().m_revision}};
    text(key, status, json_text(out));
}

void control::answer_change(exchange_id key, const change_result& result) {
    const auto failure = [&](int status, std::string_view how,
                             const std::string& cause) {
        const nlohmann::json out{
            {"change", how},
            {"cause", cause},
            {"in_force", m_shared.m_config.position().m_revision}};
        text(key, status, json_text(out));
    };
    std::visit(
        overloaded{
            [&](const change_accepted& accepted) {
                const nlohmann::json out{{"accepted", accepted.m_revision}};
                json(key, json_text(out));
            },
            [&](const change_rejected& rejected) {
                answer_error(key, io::status::conflict, rejected.m_error);
            },
            [&](const change_unknown& unknown) {
                failure(io::status::gateway_timeout, "unknown",
                        unknown.m_cause);
            },
            [&](const change_not_made& none) {
                failure(io::status::unavailable, "not made", none.m_cause);
            }},
        result);
}

// Which members are known to have adopted a revision, by their heartbeats.
void control::answer_in_force(exchange_id key, std::string_view path) {
    auto wanted = position_after('=', path);
    if (!wanted) {
        answer_error(key, io::status::bad_request, no_number("revision", path));
        return;
    }
    // A bare revision is one of the present era.
    if (wanted->m_era == 0)
        wanted->m_era = m_shared.m_config.position().m_era;
    const time_point now = io::event_loop::now();
    auto behind = nlohmann::json::array();
    std::size_t members = 1;
    std::size_t count = m_shared.m_config.position() >= *wanted ? 1 : 0;
    for (const auto& [id, peer] : m_shared.m_fleet.peers()) {
        ++members;
        if (peer.m_config.m_revision >= *wanted)
            ++count;
        else
            behind.push_back(
                {{"entry", peer.m_record.m_contact.m_control.text()},
                 {"revision", peer.m_config.m_revision.m_revision},
                 {"heard_ms_ago", to_ms(now - peer.m_last_heard)}});
    }
    const nlohmann::json out{{"revision", wanted->m_revision},
                             {"in_force", count},
                             {"members", members},
                             {"behind", behind}};
    json(key, json_text(out));
}

void control::answer_events(exchange_id key) {
    const event_ring& ring = m_shared.m_journal.ring();
    nlohmann::json out{
        {"entry", m_shared.m_settings.m_name},
        {"incarnation", m_shared.m_fleet.self_record().m_name.m_incarnation},
        {"lost", ring.dropped()},
        {"events", nlohmann::json::array()}};
    for (const event& item : ring.events())
        out["events"].push_back({{"stamp", item.m_stamp},
                                 {"sequence", item.m_sequence},
                                 {"kind", name_of(item.m_kind)},
                                 {"subject", item.m_subject},
                                 {"detail", item.m_detail}});
    json(key, json_text(out));
}

} // namespace skylark::entry
