// A whole entry on the users' platform for tests: stand-ins for the store and
// the upstreams share its loop.
#ifndef TEST_PLATFORM_NODE_FIXTURE_HPP
#define TEST_PLATFORM_NODE_FIXTURE_HPP

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "entry/node.hpp"
#include "io/fetcher.hpp"
#include "standin/kv_store.hpp"
#include "test/own_address.hpp"

namespace skylark::test {

inline constexpr std::uint32_t loopback = 0x7f000001U;

// An upstream as the platform's pages describe it.
class fake_upstream {
public:
    fake_upstream(io::event_loop& loop, std::string id)
        : m_server{loop, {}}, m_id{std::move(id)} {
        m_server.set_handlers(
            {[this](exchange_id key, const io::request_view& request) {
                 serve(key, request);
             },
             {},
             {}});
        m_where = m_server.listen({loopback, 0}).value();
    }

    std::string record(const std::string& zone,
                       const std::string& state = "ready") const {
        return R"({"address":")" + m_where.text() + R"(","born":)" +
               std::to_string(m_born) +
               R"(,"info":{"service":"stock","zone":")" + zone +
               R"(","slots":6},"status":{"state":")" + state +
               R"(","seq_no":1,"warmup_left_ms":0}})";
    }

    const std::string& id() const { return m_id; }

    // Requests and health checks that reached it.
    int contacts() const { return m_requests + m_health_checks; }
    bool holding() const { return bool{m_held}; }

    std::string m_load{"0,0,6,100"};
    int m_requests{};
    int m_health_checks{};
    int m_health_refusals{};   // refuses this many health checks next
    int m_refusals{};          // refuses this many requests next
    std::string m_rest;        // Retry-After of its refusals, unless empty
    bool m_leaving{};          // says in its answers to requests that it leaves
    bool m_leaving_health{};   // says so in its health checks
    std::string m_answers_for; // another instance at its address, unless empty
    // Holds the next request until a health check comes. Then it refuses the
    // request, and ends the check's connection with the answer.
    bool m_holds{};
    int m_born{1};
    time_point m_refused_at;
    time_point m_last_contact;
    std::string m_deadline; // of the last request
    std::string m_host;
    std::string m_path;
    bool m_misdirected{};
    std::string m_stamp{"stamp"};
    std::string m_body;       // of the last request
    std::string m_request_id; // the same; empty for a health check
    std::string m_fields;     // of the last request, one a line

private:
    void serve(exchange_id key, const io::request_view& request) {
        m_last_contact = io::event_loop::now();
        if (request.m_path == "/health") {
            check_health(key);
            return;
        }
        ++m_requests;
        m_deadline = io::find_header(request.m_headers, "Deadline-Ms");
        m_host = request.m_host;
        m_path = request.m_path;
        m_body = request.m_body;
        m_fields.clear();
        for (const io::header_view& field : request.m_headers)
            m_fields.append(field.m_name)
                .append(": ")
                .append(field.m_value)
                .append("\n");
        const auto wanted =
            io::find_header(request.m_headers, "Expected-Instance");
        m_misdirected |= wanted != m_id;
        m_request_id = io::find_header(request.m_headers, "Request-Id");
        if (!m_answers_for.empty()) {
            refuse(key, 421);
            return;
        }
        if (std::exchange(m_holds, false)) {
            m_held = key;
            return;
        }
        if (m_refusals > 0) {
            --m_refusals;
            refuse(key);
            return;
        }
        std::vector<io::header> headers{{"Request-Id", m_request_id}};
        if (!m_stamp.empty())
            headers.push_back({"Response-Stamp", m_stamp});
        if (m_leaving)
            headers.push_back({"Server-Leaving", "1"});
        m_server.answer(key, 200, headers, "whole body of " + m_id);
    }

    void check_health(exchange_id key) {
        ++m_health_checks;
        if (m_health_refusals > 0) {
            --m_health_refusals;
            m_request_id.clear();
            refuse(key);
            return;
        }
        std::vector<io::header> headers{
            {"Instance-Id", m_answers_for.empty() ? m_id : m_answers_for},
            {"Server-Load", m_load}};
        if (m_leaving_health)
            headers.push_back({"Server-Leaving", "1"});
        const int status = m_leaving_health ? 503 : 200;
        // The loop handles the newest event of a turn first.
        if (m_held) {
            m_server.close_after_answer();
            refuse(std::exchange(m_held, {}));
        }
        m_server.answer(key, status, headers, "");
    }

    void refuse(exchange_id key, int status = 503) {
        m_refused_at = io::event_loop::now();
        std::vector<io::header> headers{{"Not-Executed", "1"},
                                        {"Request-Id", m_request_id}};
        if (!m_rest.empty())
            headers.push_back({"Retry-After", m_rest});
        if (m_leaving)
            headers.push_back({"Server-Leaving", "1"});
        m_server.answer(key, status, headers, "");
    }

    io::http_server m_server;
    exchange_id m_held;
    std::string m_id;
    address m_where;
};

inline const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix",)"
    R"("kind","timeout_ms","service","max_attempts"],"rows":[)"
    R"(["read","h.example","/a/","safe",1000,"stock",2],)"
    R"(["book","h.example","/b/","unsafe",1000,"stock",2]]},)"
    R"("services":{"columns":["name","health_path"],)"
    R"("rows":[["stock","/health"]]}})";

class platform_node : public testing::Test {
protected:
    platform_node()
        : m_store{m_loop}, m_near{m_loop, "i-near"}, m_far{m_loop, "i-far"},
          m_fetcher{m_loop, 1U << 20U} {
        m_settings.m_name = "e1";
        m_settings.m_zone = "a";
        m_settings.m_zones = {"a", "b"};
        m_settings.m_deployment = entry::deployment::platform;
        m_settings.m_platform = m_store.listen({loopback, 0}).value();
        m_settings.m_log_level = "off";
        m_settings.m_callers = own_address();
        m_settings.m_control = own_address();
        m_settings.m_peer = m_settings.m_control;
        m_settings.m_lookup = own_address();
        m_settings.m_ready = own_address();
    }

    void start() {
        m_node = std::make_unique<entry::node>(m_loop, m_settings);
        const auto started = m_node->start();
        ASSERT_TRUE(started) << started.error().text();
    }

    void start_with_upstreams() {
        m_store.put("op/config", configuration);
        m_store.put("servers/" + m_near.id(), m_near.record("a"));
        m_store.put("servers/" + m_far.id(), m_far.record("b"));
        start();
        turn_until([this] {
            return status(get(*m_settings.m_ready, "/readiness")) == 200;
        });
    }

    void turn_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 200000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    io::fetch_result call(io::fetch_request what) {
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        for (int i = 0; i < 5000 && !got; ++i)
            m_loop.run_once(milliseconds{1});
        return got.value_or(io::fetch_failure{true, "no answer"});
    }

    io::fetch_result get(address where, const std::string& path) {
        io::fetch_request what;
        what.m_to = where;
        what.m_path = path;
        return call(what);
    }

    io::fetch_result ask(const std::string& path,
                         const std::string& method = "GET",
                         const std::string& host = "h.example") {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = method;
        what.m_path = path;
        what.m_host = host;
        what.m_headers = {{"Request-Id", "r1"}, {"Deadline-Ms", "800"}};
        return call(what);
    }

    /*! @brief Repeats a call until an upstream has got the request.
     *
     *  A process that gets no processor time receives the answers to its probes
     *  late, and refuses. Each refusal must have waited for a probe. */
    io::fetch_result
    until_received(const std::function<io::fetch_result()>& attempt) {
        const int before = m_near.m_requests + m_far.m_requests;
        for (int i = 0; i < most_refusals; ++i) {
            const time_point began = io::event_loop::now();
            auto got = attempt();
            if (status(got) != 503 ||
                m_near.m_requests + m_far.m_requests > before)
                return got;
            EXPECT_GE(io::event_loop::now() - began, probe_wait);
        }
        return attempt();
    }

    static int status(const io::fetch_result& of) {
        const auto* answer = std::get_if<io::fetch_answer>(&of);
        return answer ? answer->m_status : 0;
    }

    static constexpr int most_refusals = 10;
    // Least time for which the entry waits for the answer to a probe.
    static constexpr auto probe_wait = milliseconds{8};

    io::event_loop m_loop;
    standin::kv_store m_store;
    fake_upstream m_near;
    fake_upstream m_far;
    io::fetcher m_fetcher;
    entry::settings m_settings;
    std::unique_ptr<entry::node> m_node;
};

} // namespace skylark::test

#endif
