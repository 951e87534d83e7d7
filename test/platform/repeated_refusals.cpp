// An upstream that writes an earlier refusal once more: nobody is told "not
// run" of a request that ran, and no unsafe request runs twice.
#include "test/platform/interfaces.hpp"

#include <map>
#include <set>

using namespace skylark;
using namespace skylark::test;

namespace {

constexpr auto work_time = milliseconds{5};

/*! @brief When the copy of a refusal is written. */
enum class moment : std::uint8_t {
    after_refusal,  //!< on its connection, a delay after the refusal
    after_answer,   //!< a delay after an answer, on the answer's connection
    before_request, //!< as soon as a request is read
    during_request  //!< a delay after a request was read
};

class repeated_refusals
    : public whole_entry,
      public testing::WithParamInterface<entry::deployment> {
protected:
    repeated_refusals() : whole_entry{GetParam()} {}

    // Refuses each second probe while m_refuses_probes.
    void probed(std::size_t upstream, const scripted_request& got) override {
        if (m_probe_delay > duration{0}) {
            m_late.insert({upstream, got.m_connection});
            m_upstreams[upstream].say_later(m_probe_delay, got.m_connection,
                                            load(upstream));
        } else if (m_refuses_probes && ++m_probes % 2 == 0) {
            refuse(upstream, got);
        } else {
            whole_entry::probed(upstream, got);
        }
    }

    // Refuses each fifth request while m_refuses_requests.
    void serve(std::size_t upstream, const scripted_request& got) override {
        if (m_refuses_requests && ++m_requests % 5 == 0) {
            refuse(upstream, got);
            return;
        }
        ++m_runs[got.field("Request-Id")];
        m_on_late += m_late.contains({upstream, got.m_connection}) ? 1 : 0;
        m_reused += got.m_position > 0 ? 1 : 0;
        repeat(upstream, got);
        std::string answer = success(got) + "Content-Length: 0\r\n\r\n";
        if (m_when == moment::after_answer && m_delay == duration{0}) {
            ++m_copies;
            answer += m_copy;
        }
        m_upstreams[upstream].say_later(work_time, got.m_connection, answer);
        if (m_when == moment::after_answer && m_delay > duration{0})
            write_copy(work_time + m_delay, upstream, got);
    }

    void refuse(std::size_t upstream, const scripted_request& got) {
        const std::string text = refusal(got.field("Request-Id"));
        m_refused.insert({upstream, got.m_connection});
        const bool twice = m_when == moment::after_refusal;
        const bool together = twice && m_delay == duration{0};
        m_upstreams[upstream].say(got.m_connection,
                                  together ? text + text : text);
        if (twice && !together)
            m_upstreams[upstream].say_later(m_delay, got.m_connection, text);
        m_copies += twice ? 1 : 0;
    }

    void repeat(std::size_t upstream, const scripted_request& got) {
        const bool chosen =
            m_on_any_connection
                ? got.m_position > 0
                : m_refused.contains({upstream, got.m_connection});
        if (chosen && m_when == moment::before_request)
            write_copy(duration{0}, upstream, got);
        else if (chosen && m_when == moment::during_request)
            write_copy(m_delay, upstream, got);
    }

    void write_copy(duration delay, std::size_t upstream,
                    const scripted_request& got) {
        ++m_copies;
        if (delay == duration{0})
            m_upstreams[upstream].say(got.m_connection, m_copy);
        else
            m_upstreams[upstream].say_later(delay, got.m_connection, m_copy);
    }

    // Requests without a pause between them, so that connections are reused.
    void send_series(moment when, std::int64_t longest_delay_ms) {
        m_when = when;
        for (std::int64_t ms = 0; ms <= longest_delay_ms; ++ms) {
            m_delay = milliseconds{ms};
            for (int i = 0; i < 12; ++i) {
                const std::string method = i % 3 == 2 ? "GET" : "POST";
                const auto got = send(method);
                m_ends.push_back({m_last_id, method, status(got)});
            }
        }
    }

    // Late runs count as well.
    void check_ledger() {
        const time_point end = io::event_loop::now() + milliseconds{50};
        turn_until([&] { return io::event_loop::now() > end; });
        for (const ended& item : m_ends) {
            SCOPED_TRACE(item.m_method + ' ' + item.m_id + " got " +
                         std::to_string(item.m_status));
            const bool refused = item.m_status == 503 || item.m_status == 429 ||
                                 item.m_status == 408 || item.m_status == 421;
            EXPECT_FALSE(refused && m_runs[item.m_id] > 0);
            EXPECT_TRUE(item.m_method == "GET" || m_runs[item.m_id] <= 1);
        }
    }

    struct ended {
        std::string m_id;
        std::string m_method;
        int m_status{};
    };

    bool m_refuses_probes{};
    bool m_refuses_requests{};
    bool m_on_any_connection{}; // or only on those that carried a refusal
    moment m_when{moment::after_refusal};
    duration m_delay{};
    std::string m_copy{refusal()};
    duration m_probe_delay{};
    std::vector<ended> m_ends;
    std::map<std::string, int> m_runs; // at both upstreams, by request
    // Connections that carried a refusal, by upstream.
    std::set<std::pair<std::size_t, int>> m_refused;
    std::set<std::pair<std::size_t, int>> m_late; // carried a late probe
    int m_on_late{}; // requests on these connections
    int m_probes{};
    int m_requests{};
    int m_copies{};
    int m_reused{};
};

constexpr std::array all_moments{moment::after_refusal, moment::before_request,
                                 moment::during_request};

class tied_refusals : public repeated_refusals {};

} // namespace

TEST_P(repeated_refusals, of_requests_on_their_connections) {
    start(2);
    m_refuses_requests = true;
    for (const moment when : all_moments)
        send_series(when, 3);
    check_ledger();
    EXPECT_GT(m_copies, 0);
    EXPECT_GT(m_reused, 0);
}

TEST_P(repeated_refusals, of_probes_on_their_connections) {
    start(2);
    m_refuses_probes = true;
    // There, probes do not depend on requests.
    if (native())
        turn_until([this] { return m_copies > 0; });
    for (const moment when : all_moments)
        send_series(when, 3);
    check_ledger();
    EXPECT_GT(m_copies, 0);
    EXPECT_GT(m_reused, 0);
}

// The copy is received together with an answer that has no body.
TEST_P(repeated_refusals, in_one_piece_with_an_answer) {
    start(2);
    send_series(moment::after_answer, 0);
    check_ledger();
    EXPECT_GT(m_copies, 0);
    EXPECT_GT(m_reused, 0);
}

TEST_P(repeated_refusals, before_any_request_on_a_new_connection) {
    start(2);
    m_refuses_requests = true; // their connections are closed
    for (scripted_upstream& item : m_upstreams)
        item.greet(refusal());
    send_series(moment::before_request, 0);
    check_ledger();
}

INSTANTIATE_TEST_SUITE_P(entry, repeated_refusals,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });

// Where answers name their request, copies are told on any connection.
TEST_P(tied_refusals, on_other_connections) {
    start(2);
    m_on_any_connection = true;
    const std::string end = "Content-Length: 0\r\n\r\n";
    for (const std::string& copy :
         {refusal(), refusal("other"), "HTTP/1.1 421 Misdirected\r\n" + end,
          "HTTP/1.1 429 Busy\r\nNot-Executed: 1\r\n" + end,
          "HTTP/1.1 429 Busy\r\n" + end, "HTTP/1.1 408 Late\r\n" + end,
          "HTTP/1.1 503 Failing\r\nInstance-Id: i-0\r\n" + end}) {
        m_copy = copy;
        send_series(moment::before_request, 0);
        send_series(moment::during_request, 3);
        send_series(moment::after_answer, 3);
    }
    check_ledger();
    EXPECT_GT(m_copies, 0);
    EXPECT_GT(m_reused, 0);
}

TEST_P(tied_refusals, requests_avoid_connections_whose_probes_were_late) {
    start(2);
    m_probe_delay = milliseconds{400};
    send_series(moment::after_refusal, 0);
    m_probe_delay = duration{0};
    const time_point end = io::event_loop::now() + milliseconds{500};
    turn_until([&] { return io::event_loop::now() > end; });
    send_series(moment::after_refusal, 0);
    check_ledger();
    EXPECT_FALSE(m_late.empty());
    EXPECT_EQ(m_on_late, 0);
    EXPECT_GT(m_reused, 0);
}

INSTANTIATE_TEST_SUITE_P(entry, tied_refusals,
                         testing::Values(entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
