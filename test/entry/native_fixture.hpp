// A whole entry of the native interface for tests, with one upstream that holds
// its requests. All share one loop.
#ifndef TEST_ENTRY_NATIVE_FIXTURE_HPP
#define TEST_ENTRY_NATIVE_FIXTURE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "entry/node.hpp"
#include "io/fetcher.hpp"
#include "standin/platform.hpp"
#include "test/own_address.hpp"

namespace skylark::test {

class native_node : public testing::Test {
protected:
    native_node()
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
        m_settings.m_callers = own_address();
        m_settings.m_control = own_address();
        m_settings.m_peer = m_settings.m_control;
    }

    /*! @brief Starts the entry and waits until it has queried the load of its
     *  upstream, which belongs to the service "stock" in zone "a". */
    void start(const std::string& document_text) {
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
        call(added);
        m_node = std::make_unique<entry::node>(m_loop, m_settings);
        ASSERT_TRUE(m_node->start());
        turn_until([this] { return m_load_queries > 0; });
    }

    void turn_until(const std::function<bool()>& reached) {
        constexpr auto longest_wait = seconds{20};
        const time_point began = io::event_loop::now();
        while (!reached() && io::event_loop::now() - began < longest_wait)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    io::fetch_result call(const io::fetch_request& what) {
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return got.has_value(); });
        return got.value_or(io::fetch_failure{true, "no answer"});
    }

    /*! @brief Body of a page on the control address. */
    std::string page(const std::string& path) {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_path = path;
        const auto got = call(what);
        const auto* answer = std::get_if<io::fetch_answer>(&got);
        return answer ? answer->m_body : "";
    }

    /*! @brief Number of requests in the entry's admission queues. */
    int queued() {
        const std::string metrics = page("/metrics");
        const std::string name = "\nskylark_queued ";
        const auto at = metrics.find(name);
        return at == std::string::npos
                   ? -1
                   : std::stoi(metrics.substr(at + name.size()));
    }

    /*! @brief Sends a request and returns at once. */
    void book(std::optional<io::fetch_result>& into,
              const std::string& wait_ms) {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "POST";
        what.m_path = "/x";
        what.m_headers = {{"Request-Timeout-Ms", wait_ms}};
        what.m_timeout = seconds{60};
        m_fetcher.run(what, [&into](const io::fetch_result& is) { into = is; });
    }

    static constexpr std::uint32_t loopback = 0x7f000001U;
    io::event_loop m_loop;
    standin::platform m_platform;
    io::http_server m_upstream;
    io::fetcher m_fetcher;
    entry::settings m_settings;
    std::unique_ptr<entry::node> m_node;
    exchange_id m_held; // the last request that reached the upstream
    int m_requests{};   // that did so
    int m_load_queries{};

private:
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
};

} // namespace skylark::test

#endif
