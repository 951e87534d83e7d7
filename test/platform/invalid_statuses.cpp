// Upstreams whose status line holds no valid status: nothing that they write
// after it reaches a caller as the answer to a request.
#include "test/platform/interfaces.hpp"

#include <map>

using namespace skylark;
using namespace skylark::test;

namespace {

constexpr const char* valid_line = "HTTP/1.1 200 OK";

// The first upstream that is asked writes an invalid status line, the other
// one answers.
class invalid_status : public whole_entry,
                       public testing::WithParamInterface<
                           std::tuple<entry::deployment, const char*>> {
protected:
    invalid_status() : whole_entry{std::get<0>(GetParam())} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        const std::string key = native() ? got.m_path : got.field("Request-Id");
        const bool spoils = m_armed && (m_always || m_runs[key] == 0);
        ++m_runs[key];
        std::string head = success(got);
        if (spoils)
            head.replace(0, std::string{valid_line}.size(),
                         std::get<1>(GetParam()));
        m_upstreams[upstream].say(got.m_connection,
                                  head + "Content-Length: 4\r\n\r\nbody");
    }

    // Sends until the request has reached an upstream.
    int outcome_of(const std::string& method) {
        m_runs.clear();
        return status(send_until(method, [this] { return !m_runs.empty(); }));
    }

    bool m_armed{};
    bool m_always{}; // also when the request is repeated
    std::map<std::string, int> m_runs;
};

} // namespace

// Guards against an answer of status 000 or 999 that reaches a caller.
TEST_P(invalid_status, reaches_no_caller) {
    start(1);
    m_armed = true;
    m_always = true;
    EXPECT_EQ(outcome_of("POST"), 502);
    EXPECT_EQ(outcome_of("GET"), 502);
}

// Guards against a repeat of work that may have run.
TEST_P(invalid_status, does_not_repeat_a_request_that_may_run_once) {
    start(2);
    m_armed = true;
    EXPECT_EQ(outcome_of("POST"), 502);
    EXPECT_EQ(m_runs.begin()->second, 1);
}

INSTANTIATE_TEST_SUITE_P(
    interfaces, invalid_status,
    testing::Combine(
        testing::Values(entry::deployment::native, entry::deployment::platform),
        testing::Values("HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK",
                        "HTTP/1.1 999 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 20 OK",
                        "HTTP/1.1 2x0 OK", "ICY 200 OK")),
    [](const auto& tested) {
        return skylark::test::name_of(std::get<0>(tested.param)) + '_' +
               std::to_string(tested.index);
    });
