// A whole entry of either interface, upstreams on bare sockets and a store for
// it on one loop.
#ifndef TEST_PLATFORM_INTERFACES_HPP
#define TEST_PLATFORM_INTERFACES_HPP

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include <gtest/gtest.h>

#include "entry/node.hpp"
#include "io/fetcher.hpp"
#include "standin/kv_store.hpp"
#include "standin/platform.hpp"
#include "test/entry/scripted_upstream.hpp"

namespace skylark::test {

inline std::string name_of(entry::deployment kind) {
    return kind == entry::deployment::native ? "native" : "platform";
}

class whole_entry : public testing::Test {
protected:
    explicit whole_entry(entry::deployment kind)
        : m_kind{kind}, m_store{m_loop}, m_catalogue{m_loop}, m_fetcher{
                                                                  m_loop,
                                                                  1U << 20U} {
        m_settings.m_name = "e1";
        m_settings.m_zone = "a";
        m_settings.m_zones = {"a"};
        m_settings.m_deployment = kind;
        m_settings.m_platform = native() ? m_catalogue.listen({ip, 0}).value()
                                         : m_store.listen({ip, 0}).value();
        m_settings.m_log_level = "off";
        m_settings.m_bootstrap = true;
        // Every request is preceded by a probe.
        m_settings.m_questions_per_upstream = 100'000;
        const auto [callers, control, lookup, ready] = free_addresses();
        m_settings.m_callers = callers;
        m_settings.m_control = control;
        m_settings.m_peer = control;
        if (!native()) {
            m_settings.m_lookup = lookup;
            m_settings.m_ready = ready;
        }
    }

    [[nodiscard]] bool native() const {
        return m_kind == entry::deployment::native;
    }

    void start(std::size_t upstreams) {
        for (std::size_t i = 0; i < upstreams; ++i)
            m_upstreams.emplace_back();
        for (std::size_t i = 0; i < upstreams; ++i)
            m_upstreams[i].on_request(
                [this, i](const scripted_request& got) { answer(i, got); });
        native() ? publish_native() : publish_platform();
        m_node = std::make_unique<entry::node>(m_loop, m_settings);
        const auto started = m_node->start();
        ASSERT_TRUE(started) << started.error().text();
        const address where =
            native() ? m_settings.m_control : *m_settings.m_ready;
        const std::string path = native() ? "/readyz" : "/readiness";
        turn_until([&] { return status(get(where, path)) == 200; });
        turn_until([&] { return status(send("GET")) == 200; });
    }

    /*! @brief Answers a request that is no probe. */
    virtual void serve(std::size_t upstream, const scripted_request& got) = 0;

    /*! @brief Answers a probe. */
    virtual void probed(std::size_t upstream, const scripted_request& got) {
        m_upstreams[upstream].say(got.m_connection, load(upstream));
    }

    void turn() {
        for (scripted_upstream& item : m_upstreams)
            item.turn();
        // The upstreams' sockets do not wake the loop.
        m_loop.run_once(duration{0});
    }

    void turn_until(const std::function<bool()>& reached) {
        const time_point limit = io::event_loop::now() + longest_wait;
        while (!reached() && io::event_loop::now() < limit)
            turn();
        ASSERT_TRUE(reached());
    }

    /*! @brief Sends a request of its own id and waits for its end. */
    io::fetch_result send(const std::string& method) {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = method;
        what.m_path = method == "POST" ? "/b/x" : "/a/x";
        what.m_host = "h.example";
        m_last_id = "r" + std::to_string(++m_sent);
        what.m_headers = {{"Request-Id", m_last_id}};
        what.m_timeout = longest_wait;
        if (method == "POST")
            what.m_body = m_body;
        return call(what);
    }

    /*! @brief Sends requests until one has reached an upstream.
     *
     *  A process that gets no processor time receives the answers to its probes
     *  late, and refuses. Each refusal must have waited for a probe, and what
     *  it names must never reach an upstream. */
    io::fetch_result send_until(const std::string& method,
                                const std::function<bool()>& received) {
        constexpr int most_refusals = 10;
        for (int i = 0; i <= most_refusals; ++i) {
            const time_point began = io::event_loop::now();
            auto got = send(method);
            if (received())
                return got;
            EXPECT_EQ(status(got), 503);
            EXPECT_GE(io::event_loop::now() - began, probe_wait);
            m_not_run.insert(m_last_id);
        }
        ADD_FAILURE() << "no request has reached an upstream";
        return io::fetch_failure{true, "not reached"};
    }

    static int status(const io::fetch_result& of) {
        const auto* answer = std::get_if<io::fetch_answer>(&of);
        return answer ? answer->m_status : 0;
    }

    /*! @brief Head of a success of this interface up to its framing. */
    [[nodiscard]] std::string success(const scripted_request& got) const {
        std::string out = "HTTP/1.1 200 OK\r\n";
        if (!native())
            out += "Request-Id: " + got.field("Request-Id") +
                   "\r\nResponse-Stamp: s\r\n";
        return out;
    }

    /*! @brief A refusal of this interface; an id makes it name a request. */
    [[nodiscard]] std::string refusal(const std::string& id = {}) const {
        std::string out = "HTTP/1.1 503 Busy\r\n";
        out += native() ? "Upstream-Refused: shed\r\n"
                        : "Not-Executed: 1\r\nServer-Load: 0,0,6,100\r\n";
        if (!native() && !id.empty())
            out += "Request-Id: " + id + "\r\n";
        return out + "Content-Length: 0\r\n\r\n";
    }

    [[nodiscard]] std::string load(std::size_t upstream) const {
        const std::string report =
            "inc=1;state=warm;used=0;slots=6;queue=0;slow=100";
        if (native())
            return "HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(report.size()) + "\r\n\r\n" + report;
        return "HTTP/1.1 200 OK\r\nInstance-Id: i-" + std::to_string(upstream) +
               "\r\nServer-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n";
    }

    entry::deployment m_kind;
    io::event_loop m_loop;
    standin::kv_store m_store;
    standin::platform m_catalogue;
    io::fetcher m_fetcher;
    entry::settings m_settings;
    std::deque<scripted_upstream> m_upstreams;
    std::unique_ptr<entry::node> m_node;
    std::string m_body{"order"}; // of a POST
    std::size_t m_body_limit{defaults::body_bytes};
    int m_sent{};
    std::string m_last_id; // of the last request sent

private:
    // Of this process alone: no other one's ports and no outgoing connections
    // are on it.
    static inline const std::uint32_t ip =
        0x7f000000U + static_cast<std::uint32_t>(getpid());
    static constexpr auto longest_wait = seconds{20};
    // Least time for which the entry waits for the answer to a probe.
    static constexpr auto probe_wait = milliseconds{8};

    std::set<std::string> m_not_run; // ids that send_until() saw refused

    void answer(std::size_t upstream, const scripted_request& got) {
        if (got.m_path == "/health" || got.m_path == "/load") {
            probed(upstream, got);
            return;
        }
        EXPECT_FALSE(m_not_run.contains(got.field("Request-Id")));
        serve(upstream, got);
    }

    // Ports that were free a moment ago; the settings need them beforehand.
    // All are held until the last one is known, so that they differ.
    std::array<address, 4> free_addresses() {
        std::deque<io::http_server> held;
        std::array<address, 4> out;
        for (address& where : out)
            where = held.emplace_back(m_loop, io::server_limits{})
                        .listen({ip, 0})
                        .value();
        return out;
    }

    io::fetch_result call(const io::fetch_request& what) {
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return got.has_value(); });
        return got.value_or(io::fetch_failure{true, "no answer"});
    }

    io::fetch_result get(address where, const std::string& path) {
        io::fetch_request what;
        what.m_to = where;
        what.m_path = path;
        return call(what);
    }

    void publish_native() {
        m_catalogue.preload(
            "skylark/config",
            R"({"change_id":"initial","zones":[{"name":"a","region":"r",)"
            R"("state":"active"}],"services":[{"name":"stock","slots":6,)"
            R"("cold_slots":1,"urgent_reserve":1}],"rules":[)"
            R"({"name":"read","service":"stock","path_prefix":"/a/",)"
            R"("idempotent":true,"deadline_ms":1000},)"
            R"({"name":"book","service":"stock","path_prefix":"/b/",)"
            R"("idempotent":false,"deadline_ms":1000}],)"
            R"("limits":{"connections_per_upstream":100,"body_bytes":)" +
                std::to_string(m_body_limit) + "}}");
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            io::fetch_request what;
            what.m_to = m_settings.m_platform;
            what.m_method = "PUT";
            what.m_path = "/v1/agent/service/register";
            const std::string where = m_upstreams[i].where().text();
            const auto colon = where.find(':');
            what.m_body = R"({"ID":"i-)" + std::to_string(i) +
                          R"(","Address":")" + where.substr(0, colon) +
                          R"(","Port":)" + where.substr(colon + 1) +
                          R"(,"Meta":{"role":"upstream","service":"stock",)"
                          R"("zone":"a"}})";
            ASSERT_EQ(status(call(what)), 200);
        }
    }

    void publish_platform() {
        m_store.put(
            "op/config",
            R"({"version":"00000007","routes":{"columns":["name","host",)"
            R"("prefix","kind","timeout_ms","service","max_attempts"],"rows":[)"
            R"(["read","h.example","/a/","safe",1000,"stock",2],)"
            R"(["book","h.example","/b/","unsafe",1000,"stock",2]]},)"
            R"("services":{"columns":["name","health_path"],)"
            R"("rows":[["stock","/health"]]},"limits":{"max_body_bytes":)" +
                std::to_string(m_body_limit) + "}}");
        for (std::size_t i = 0; i < m_upstreams.size(); ++i)
            m_store.put("servers/i-" + std::to_string(i),
                        R"({"address":")" + m_upstreams[i].where().text() +
                            R"(","born":1,"info":{"service":"stock",)"
                            R"("zone":"a","slots":6},"status":)"
                            R"({"state":"ready","seq_no":1,)"
                            R"("warmup_left_ms":0}})");
    }
};

} // namespace skylark::test

#endif
