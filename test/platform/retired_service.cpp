// Requests in progress when a configuration retires their service.
#include "test/platform/node_fixture.hpp"

using namespace skylark;
using skylark::test::configuration;
using skylark::test::loopback;

namespace {

// Moves all routes to another service and no longer names the first one.
const std::string retiring_configuration = [] {
    std::string out = configuration;
    out.replace(out.find("00000007"), 8, "00000008");
    const std::string name = "\"stock\"";
    for (auto at = out.find(name); at != std::string::npos;
         at = out.find(name, at))
        out.replace(at, name.size(), "\"other\"");
    return out;
}();

class retired_service : public test::platform_node {
protected:
    retired_service() : m_held_by{m_loop, {}} {
        m_settings.m_drain_limit = milliseconds{5500};
        m_held_by.set_handlers(
            {[this](exchange_id key, const io::request_view& request) {
                 if (request.m_path == "/health")
                     answer_probe(key);
                 else
                     m_held.push_back(key);
             },
             {},
             {}});
        m_where = m_held_by.listen({loopback, 0}).value();
    }

    void start_with_holding_upstream() {
        m_store.put("op/config", configuration);
        m_store.put("servers/i-hold",
                    R"({"address":")" + m_where.text() +
                        R"(","born":1,"info":{"service":"stock","zone":"a",)"
                        R"("slots":6},"status":{"state":"ready","seq_no":1,)"
                        R"("warmup_left_ms":0}})");
        start();
        turn_until([this] {
            return status(get(*m_settings.m_ready, "/readiness")) == 200;
        });
    }

    void send() {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "POST";
        what.m_path = "/b/x";
        what.m_host = "h.example";
        what.m_headers = {{"Request-Id", "r1"}};
        m_fetcher.run(what, [this](const io::fetch_result& is) { m_got = is; });
    }

    void retire() {
        m_store.put("op/config", retiring_configuration);
        turn_until([this] {
            const auto got = get(m_settings.m_control, "/peer/config");
            const auto* answer = std::get_if<io::fetch_answer>(&got);
            return answer &&
                   answer->m_body.find("\"other\"") != std::string::npos;
        });
    }

    void answer_held() {
        const std::array headers{io::header{"Request-Id", "r1"},
                                 io::header{"Response-Stamp", "stamp"}};
        for (const exchange_id key : std::exchange(m_held, {}))
            m_held_by.answer(key, 200, headers, "whole");
    }

    std::vector<exchange_id> m_held;
    std::optional<io::fetch_result> m_got;

private:
    void answer_probe(exchange_id key) {
        const std::array headers{io::header{"Instance-Id", "i-hold"},
                                 io::header{"Server-Load", "0,0,6,100"}};
        m_held_by.answer(key, 200, headers, "");
    }

    io::http_server m_held_by;
    address m_where;
};

} // namespace

// A graceful shutdown ended the process while such a request was in progress.
TEST_F(retired_service, a_request_at_an_upstream_survives_a_shutdown) {
    start_with_holding_upstream();
    send();
    turn_until([this] { return !m_held.empty(); });
    retire();
    m_node->drain();
    answer_held();
    turn_until([this] { return m_got.has_value(); });
    EXPECT_EQ(status(*m_got), 200);
}
