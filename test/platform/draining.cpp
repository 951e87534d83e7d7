// What callers of an entry on the users' platform get while it shuts down.
#include "test/platform/node_fixture.hpp"

using namespace skylark;
using skylark::test::configuration;
using skylark::test::loopback;

namespace {

// Lets requests wait for a minute.
const std::string long_configuration = [] {
    std::string out = configuration;
    const std::string limit = "\"unsafe\",1000";
    out.replace(out.find(limit), limit.size(), "\"unsafe\",60000");
    return out;
}();

// An upstream that answers requests only when it is told to.
class holding_upstream {
public:
    explicit holding_upstream(io::event_loop& loop) : m_server{loop, {}} {
        m_server.set_handlers(
            {[this](exchange_id key, const io::request_view& request) {
                 serve(key, request);
             },
             {},
             {}});
        m_where = m_server.listen({loopback, 0}).value();
    }

    std::string record() const {
        return R"({"address":")" + m_where.text() +
               R"(","born":1,"info":{"service":"stock","zone":"a","slots":6},)"
               R"("status":{"state":"ready","seq_no":1,"warmup_left_ms":0}})";
    }

    void answer_all() {
        for (const exchange_id key : m_held) {
            const std::array headers{io::header{"Request-Id", "r1"},
                                     io::header{"Response-Stamp", "stamp"}};
            m_server.answer(key, 200, headers, "whole");
        }
        m_held.clear();
    }

    std::vector<exchange_id> m_held;

private:
    void serve(exchange_id key, const io::request_view& request) {
        if (request.m_path != "/health") {
            m_held.push_back(key);
            return;
        }
        const std::array headers{io::header{"Instance-Id", "i-hold"},
                                 io::header{"Server-Load", "0,0,6,100"}};
        m_server.answer(key, 200, headers, "");
    }

    io::http_server m_server;
    address m_where;
};

class draining_node : public test::platform_node {
protected:
    draining_node() { m_settings.m_drain_limit = milliseconds{5500}; }

    void start_with_holding_upstream() {
        m_store.put("op/config", long_configuration);
        m_store.put("servers/i-hold", m_upstream.record());
        start();
        turn_until([this] {
            return status(get(*m_settings.m_ready, "/readiness")) == 200;
        });
    }

    void send(const std::string& deadline_ms) {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "POST";
        what.m_path = "/b/x";
        what.m_host = "h.example";
        what.m_headers = {{"Request-Id", "r1"}, {"Deadline-Ms", deadline_ms}};
        m_fetcher.run(what, [this](const io::fetch_result& is) { m_got = is; });
    }

    holding_upstream m_upstream{m_loop};
    std::optional<io::fetch_result> m_got;
};

} // namespace

TEST_F(draining_node, a_request_that_may_outlast_the_process_is_not_passed_on) {
    start_with_holding_upstream();
    m_node->drain();
    send("30000");
    turn_until([this] { return m_got.has_value(); });
    EXPECT_TRUE(m_upstream.m_held.empty());
    ASSERT_EQ(status(*m_got), 503);
    const auto& answer = std::get<io::fetch_answer>(*m_got);
    EXPECT_EQ(answer.header_value("Connection"), "close");
    EXPECT_NE(answer.header_value("Retry-After"), "");
}

TEST_F(draining_node, a_request_that_ends_before_the_process_is_served) {
    start_with_holding_upstream();
    m_node->drain();
    send("800");
    turn_until([this] { return !m_upstream.m_held.empty(); });
    m_upstream.answer_all();
    turn_until([this] { return m_got.has_value(); });
    EXPECT_EQ(status(*m_got), 200);
    EXPECT_EQ(std::get<io::fetch_answer>(*m_got).header_value("Connection"),
              "close");
}

TEST_F(draining_node, a_request_at_an_upstream_gets_its_answer) {
    start_with_holding_upstream();
    send("30000");
    turn_until([this] { return !m_upstream.m_held.empty(); });
    m_node->drain();
    m_upstream.answer_all();
    turn_until([this] { return m_got.has_value(); });
    EXPECT_EQ(status(*m_got), 200);
}
