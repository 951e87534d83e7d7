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
        return R"({"address":")" + m_where.text() +
               R"(","born":1,"info":{"service":"stock","zone":")" + zone +
               R"(","slots":6},"status":{"state":")" + state +
               R"(","seq_no":1,"warmup_left_ms":0}})";
    }

    const std::string& id() const { return m_id; }

    std::string m_load{"0,0,6,100"};
    int m_requests{};
    int m_refusals{};       // refuses this many requests next
    std::string m_deadline; // of the last request
    std::string m_host;
    std::string m_path;
    bool m_misdirected{};
    std::string m_stamp{"stamp"};
    std::string m_body; // of the last request

private:
    void serve(exchange_id key, const io::request_view& request) {
        if (request.m_path == "/health") {
            const std::array headers{io::header{"Instance-Id", m_id},
                                     io::header{"Server-Load", m_load}};
            m_server.answer(key, 200, headers, "");
            return;
        }
        ++m_requests;
        m_deadline = io::find_header(request.m_headers, "Deadline-Ms");
        m_host = request.m_host;
        m_path = request.m_path;
        m_body = request.m_body;
        const auto wanted =
            io::find_header(request.m_headers, "Expected-Instance");
        m_misdirected |= wanted != m_id;
        std::vector<io::header> headers{
            {"Request-Id",
             std::string{io::find_header(request.m_headers, "Request-Id")}}};
        if (m_refusals > 0) {
            --m_refusals;
            headers.push_back({"Not-Executed", "1"});
            m_server.answer(key, 503, headers, "");
            return;
        }
        if (!m_stamp.empty())
            headers.push_back({"Response-Stamp", m_stamp});
        m_server.answer(key, 200, headers, "whole body of " + m_id);
    }

    io::http_server m_server;
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
        m_settings.m_callers = free_address();
        m_settings.m_control = free_address();
        m_settings.m_peer = m_settings.m_control;
        m_settings.m_lookup = free_address();
        m_settings.m_ready = free_address();
    }

    // A port that was free a moment ago; the settings need it beforehand.
    address free_address() {
        io::http_server probe{m_loop, {}};
        const address where = probe.listen({loopback, 0}).value();
        probe.stop_listening();
        return where;
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

    static int status(const io::fetch_result& of) {
        const auto* answer = std::get_if<io::fetch_answer>(&of);
        return answer ? answer->m_status : 0;
    }

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
