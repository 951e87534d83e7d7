// An upstream of the native interface that asks for a rest, and the requests
// that wait for it in the admission queue.
#include <array>
#include <functional>
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

// One bulk request at a time on each upstream, so that others wait.
constexpr const char* document_text =
    R"({"change_id":"first","zones":[{"name":"a","region":"r",)"
    R"("state":"active"}],"services":[{"name":"stock","slots":1,)"
    R"("cold_slots":1,"urgent_reserve":0,"policy":"preferred_least"}],)"
    R"("rules":[{"name":"book","service":"stock","path_prefix":"/",)"
    R"("class":"bulk","idempotent":false,"deadline_ms":30000}],)"
    R"("limits":{"probes_per_upstream":50,"probes_fleet":100}})";

class resting_upstream : public testing::Test {
protected:
    resting_upstream()
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
        m_platform.preload("skylark/config", document_text);
        const address where = m_upstream.listen({loopback, 0}).value();
        io::fetch_request added;
        added.m_to = m_settings.m_platform;
        added.m_method = "PUT";
        added.m_path = "/v1/agent/service/register";
        added.m_body = R"({"ID":"u1","Address":"127.0.0.1","Port":)" +
                       std::to_string(where.m_port) +
                       R"(,"Meta":{"role":"upstream","service":"stock",)"
                       R"("zone":"a"}})";
        bool done = false;
        m_fetcher.run(added, [&](const io::fetch_result&) { done = true; });
        turn_until([&] { return done; });
        m_node = std::make_unique<entry::node>(m_loop, m_settings);
        ASSERT_TRUE(m_node->start());
        turn_until([this] { return m_load_queries > 0; });
    }

    void turn_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    void book(std::optional<io::fetch_result>& into,
              const std::string& wait_ms = "30000") {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "POST";
        what.m_path = "/x";
        what.m_headers = {{"Request-Timeout-Ms", wait_ms}};
        what.m_timeout = seconds{60};
        m_fetcher.run(what, [&into](const io::fetch_result& is) { into = is; });
    }

    int queued() {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_path = "/metrics";
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return got.has_value(); });
        const std::string& page = std::get<io::fetch_answer>(*got).m_body;
        const std::string name = "\nskylark_queued ";
        const auto at = page.find(name);
        return at == std::string::npos
                   ? -1
                   : std::stoi(page.substr(at + name.size()));
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

    void refuse_held(const std::string& rest) {
        const std::array headers{io::header{"Upstream-Refused", "shed"},
                                 io::header{"Retry-After", rest}};
        m_upstream.answer(m_held, 503, headers, "");
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

TEST_F(resting_upstream, waiting_callers_learn_at_once_when_to_return) {
    start();
    std::optional<io::fetch_result> running;
    std::optional<io::fetch_result> waiting;
    book(running);
    turn_until([this] { return m_requests == 1; });
    book(waiting);
    turn_until([this] { return queued() == 1; });
    refuse_held("60");
    turn_until([&] { return running && waiting; });
    EXPECT_EQ(m_requests, 1);
    for (const auto& got : {running, waiting}) {
        const auto& answer = std::get<io::fetch_answer>(*got);
        EXPECT_EQ(answer.m_status, 503);
        EXPECT_EQ(answer.header_value("Request-Verdict"), "not-run");
        EXPECT_EQ(answer.header_value("Retry-After"), "60");
    }
}

TEST_F(resting_upstream, is_not_asked_for_its_load) {
    start();
    std::optional<io::fetch_result> running;
    book(running);
    turn_until([this] { return m_requests == 1; });
    // No further query is on its way right after one.
    const int served = m_load_queries;
    turn_until([&] { return m_load_queries > served; });
    const int before = m_load_queries;
    const time_point refused = io::event_loop::now();
    refuse_held("1");
    turn_until([&] { return m_load_queries > before; });
    EXPECT_GE(io::event_loop::now() - refused, seconds{1});
}

// A leaving entry has no shares, which bulk requests need.
TEST_F(resting_upstream, waiting_callers_are_refused_when_the_entry_leaves) {
    start();
    std::optional<io::fetch_result> running;
    std::optional<io::fetch_result> waiting;
    std::optional<io::fetch_result> late;
    const std::string wait_ms = "15000";
    book(running, wait_ms);
    turn_until([this] { return m_requests == 1; });
    book(waiting, wait_ms);
    turn_until([this] { return queued() == 1; });
    const time_point began = io::event_loop::now();
    m_node->drain();
    book(late, wait_ms);
    turn_until([&] { return waiting && late; });
    EXPECT_LT(io::event_loop::now() - began, seconds{10});
    EXPECT_EQ(std::get<io::fetch_answer>(*waiting).m_status, 503);
    EXPECT_EQ(std::get<io::fetch_answer>(*late).m_status, 503);
    EXPECT_EQ(m_requests, 1);
    EXPECT_FALSE(running);
}
