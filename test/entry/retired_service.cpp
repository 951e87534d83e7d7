// A request of the native interface that waits in the admission queue when the
// operators remove its service.
#include <memory>
#include <optional>

#include <gtest/gtest.h>

#include "entry/node.hpp"
#include "io/fetcher.hpp"
#include "standin/platform.hpp"
#include "test/own_address.hpp"

using namespace skylark;

namespace {

constexpr std::uint32_t loopback = 0x7f000001U;
constexpr auto deadline = seconds{20};

// One bulk request at a time on the upstream, so that others wait.
std::string document_for(const std::string& service) {
    return R"({"change_id":"of )" + service +
           R"(","zones":[{"name":"a","region":"r","state":"active"}],)"
           R"("services":[{"name":")" +
           service +
           R"(","slots":1,"cold_slots":1,"urgent_reserve":0}],"rules":[)"
           R"({"name":"book","service":")" +
           service +
           R"(","path_prefix":"/","class":"bulk","idempotent":false,)"
           R"("deadline_ms":20000}],)"
           R"("limits":{"probes_per_upstream":50,"probes_fleet":100}})";
}

class removed_service : public testing::Test {
protected:
    removed_service()
        : m_platform{m_loop}, m_upstream{m_loop, {}}, m_fetcher{m_loop,
                                                                1U << 20U} {
        m_upstream.set_handlers(
            {[this](exchange_id key, const io::request_view& request) {
                 serve(key, request);
             },
             {},
             {}});
        m_settings.m_name = "e1";
        m_settings.m_zone = "a";
        m_settings.m_log_level = "off";
        m_settings.m_platform = m_platform.listen({loopback, 0}).value();
        m_settings.m_callers = test::own_address();
        m_settings.m_control = test::own_address();
        m_settings.m_peer = m_settings.m_control;
    }

    void start() {
        m_platform.preload("skylark/config", document_for("stock"));
        const address where = m_upstream.listen({loopback, 0}).value();
        call(m_settings.m_platform, "PUT", "/v1/agent/service/register",
             R"({"ID":"u1","Address":"127.0.0.1","Port":)" +
                 std::to_string(where.m_port) +
                 R"(,"Meta":{"role":"upstream","service":"stock",)"
                 R"("zone":"a"}})");
        m_node = std::make_unique<entry::node>(m_loop, m_settings);
        ASSERT_TRUE(m_node->start());
        turn_until([this] { return m_load_queries > 0; });
    }

    void turn_until(const std::function<bool()>& reached) {
        const time_point began = io::event_loop::now();
        while (!reached() && io::event_loop::now() - began < deadline)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    std::string call(address to, const std::string& method,
                     const std::string& path, const std::string& body = "") {
        io::fetch_request what;
        what.m_to = to;
        what.m_method = method;
        what.m_path = path;
        what.m_body = body;
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return got.has_value(); });
        const auto* answer = std::get_if<io::fetch_answer>(&*got);
        return answer ? answer->m_body : "";
    }

    void book(std::optional<io::fetch_result>& into) {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "POST";
        what.m_path = "/x";
        what.m_timeout = 2 * deadline;
        m_fetcher.run(what, [&into](const io::fetch_result& is) { into = is; });
    }

    bool page_has(const std::string& path, const std::string& text) {
        return call(m_settings.m_control, "GET", path).find(text) !=
               std::string::npos;
    }

    void serve(exchange_id key, const io::request_view& request) {
        if (request.m_path == "/load") {
            ++m_load_queries;
            m_upstream.answer(key, 200, {},
                              "inc=1;state=warm;used=0;slots=1;queue=0");
            return;
        }
        ++m_requests;
        m_held = key;
    }

    io::event_loop m_loop;
    standin::platform m_platform;
    io::http_server m_upstream;
    io::fetcher m_fetcher;
    entry::settings m_settings;
    std::unique_ptr<entry::node> m_node;
    exchange_id m_held;
    int m_requests{};
    int m_load_queries{};
};

} // namespace

// It waited until its deadline although the upstream became free.
TEST_F(removed_service, a_queued_request_is_served_by_its_upstreams) {
    start();
    std::optional<io::fetch_result> first;
    book(first);
    turn_until([this] { return m_requests == 1; });
    std::optional<io::fetch_result> second;
    book(second);
    turn_until([this] { return page_has("/metrics", "\nskylark_queued 1"); });
    m_platform.preload("skylark/config", document_for("other"));
    turn_until([this] { return page_has("/peer/config", "of other"); });
    const time_point freed = io::event_loop::now();
    m_upstream.answer(m_held, 200, {}, "whole");
    turn_until([&] { return first.has_value(); });
    turn_until([&] { return m_requests == 2 || second.has_value(); });
    EXPECT_EQ(m_requests, 2);
    EXPECT_LT(io::event_loop::now() - freed, deadline / 4);
    m_upstream.answer(m_held, 200, {}, "whole");
    turn_until([&] { return second.has_value(); });
    const auto* answer = std::get_if<io::fetch_answer>(&*second);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->m_status, 200);
}
