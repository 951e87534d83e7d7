// Callers that shut their sending side after a request and wait: what they get
// is no promise beyond what is known.
#include "test/io/raw_caller.hpp"
#include "test/platform/interfaces.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

class half_closed_caller : public whole_entry {
protected:
    explicit half_closed_caller(entry::deployment kind) : whole_entry{kind} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        ++m_served;
        if (!m_holding)
            m_upstreams[upstream].say(
                got.m_connection, success(got) + "Content-Length: 2\r\n\r\nok");
    }

    void probed(std::size_t upstream, const scripted_request& got) override {
        if (!m_cold) {
            whole_entry::probed(upstream, got);
            return;
        }
        const std::string report =
            "inc=1;state=cold;used=0;slots=6;queue=0;slow=100";
        m_upstreams[upstream].say(got.m_connection,
                                  "HTTP/1.1 200 OK\r\nContent-Length: " +
                                      std::to_string(report.size()) +
                                      "\r\n\r\n" + report);
    }

    // Sends a whole request and ends the input; returns what comes back.
    std::string ask_and_end_input() {
        raw_caller caller{m_settings.m_callers};
        caller.write("GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: h" +
                     std::to_string(++m_asked) +
                     "\r\nDeadline-Ms: 900\r\n\r\n");
        caller.end_input();
        turn_until([&] { return !caller.read(); });
        EXPECT_EQ(caller.error(), 0);
        return caller.bytes();
    }

    int m_served{};
    int m_asked{};
    bool m_holding{}; // requests get no answer
    bool m_cold{};    // upstreams have one slot
};

class half_closed_callers
    : public half_closed_caller,
      public testing::WithParamInterface<entry::deployment> {
protected:
    half_closed_callers() : half_closed_caller{GetParam()} {}
};

class half_closed_waiting_callers : public half_closed_caller {
protected:
    half_closed_waiting_callers()
        : half_closed_caller{entry::deployment::native} {}
};

} // namespace

TEST_P(half_closed_callers, get_no_promise_for_what_may_have_run) {
    start(1);
    m_holding = true;
    const int before = m_served;
    std::string got;
    constexpr int most_refusals = 10;
    for (int i = 0; i <= most_refusals && m_served == before; ++i)
        got = ask_and_end_input();
    ASSERT_EQ(m_served, before + 1);
    EXPECT_TRUE(got.starts_with("HTTP/1.1 502 ")) << got;
}

TEST_F(half_closed_waiting_callers, get_a_promise_for_what_was_not_passed_on) {
    m_cold = true;
    start(1);
    m_holding = true;
    const int before = m_served;
    const raw_caller first{m_settings.m_callers};
    first.write("GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n");
    turn_until([&] { return m_served > before; });
    const std::string got = ask_and_end_input();
    EXPECT_EQ(m_served, before + 1);
    EXPECT_TRUE(got.starts_with("HTTP/1.1 503 ")) << got;
    EXPECT_NE(got.find("Request-Verdict: not-run\r\n"), std::string::npos)
        << got;
    EXPECT_NE(got.find("\r\nRetry-After: "), std::string::npos) << got;
}

INSTANTIATE_TEST_SUITE_P(entry, half_closed_callers,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
