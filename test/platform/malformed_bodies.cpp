// Answers that fail behind their heads, before the first byte of their bodies.
// Nothing of them was passed on, so their callers still get whole answers.
#include "test/platform/malformed_fixture.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

class malformed_bodies : public malformed_body,
                         public testing::WithParamInterface<entry::deployment> {
protected:
    malformed_bodies() : malformed_body{GetParam()} {}

    // Sends one request for each fault behind each status.
    void send_each(const std::string& method, auto check) {
        for (const int status_sent : {200, 500})
            for (const fault& item : faults) {
                SCOPED_TRACE(item.m_name + " behind " +
                             std::to_string(status_sent));
                earn_repeats();
                m_status = status_sent;
                m_fault = item;
                check(send_armed(method));
            }
    }
};

} // namespace

TEST_P(malformed_bodies, are_replaced_by_an_answer_of_another_upstream) {
    start_upstreams();
    m_failing_runs = 1;
    int repeated = 0;
    send_each("GET", [&](const io::fetch_result& got) {
        // A repeat needs a probe in time.
        EXPECT_EQ(status(got), m_runs == 1 ? 502 : 200);
        EXPECT_EQ(body(got) == "own", m_runs == 2);
        repeated += m_runs == 2 ? 1 : 0;
    });
    EXPECT_GT(repeated, static_cast<int>(faults.size()));
}

TEST_P(malformed_bodies, of_all_upstreams_are_told_as_502) {
    start_upstreams();
    send_each("GET", [&](const io::fetch_result& got) {
        EXPECT_EQ(status(got), 502);
        EXPECT_FALSE(body(got).empty());
        EXPECT_LE(m_runs, native() ? 4 : 2);
    });
}

TEST_P(malformed_bodies, of_unsafe_requests_are_told_as_502_and_run_once) {
    start_upstreams();
    send_each("POST", [&](const io::fetch_result& got) {
        EXPECT_EQ(status(got), 502);
        EXPECT_FALSE(body(got).empty());
        EXPECT_EQ(m_runs, 1);
    });
}

TEST_P(malformed_bodies, are_recognized_byte_by_byte) {
    start_upstreams();
    m_fault = faults.front();
    m_byte_by_byte = true;
    for (const char* method : {"GET", "POST"}) {
        SCOPED_TRACE(method);
        m_failing_runs = 100;
        EXPECT_EQ(status(send_armed(method)), 502);
        m_failing_runs = 0;
        const auto got = send_armed(method);
        EXPECT_EQ(status(got), 200);
        EXPECT_EQ(body(got), "own");
        EXPECT_EQ(m_runs, 1);
    }
}

TEST_P(malformed_bodies, in_a_drain_are_replaced_or_told_as_502) {
    start_upstreams();
    earn_repeats();
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        if (m_runs > 1) {
            at.say(got.m_connection, whole(got));
            return;
        }
        m_node->drain();
        at.say(got.m_connection, success(got) + chunked + "\r\n");
        at.say_later(milliseconds{100}, got.m_connection, "~junk~\r\n");
    };
    const auto got = send_armed("GET");
    EXPECT_EQ(status(got), m_runs == 1 ? 502 : 200);
    EXPECT_LE(m_runs, 2);
}

TEST_P(malformed_bodies, in_a_drain_do_not_replace_sound_ones) {
    start_upstreams();
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        m_node->drain();
        at.say(got.m_connection, success(got) + chunked + "\r\n");
        at.say_later(milliseconds{300}, got.m_connection,
                     "3\r\nown\r\n0\r\n\r\n");
    };
    const auto got = send_armed("POST");
    EXPECT_EQ(status(got), 200);
    EXPECT_EQ(body(got), "own");
}

// The second answer fails while it is held for the first.
TEST_P(malformed_bodies, behind_another_request_leave_their_connection_open) {
    start_upstreams();
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        if (got.m_path == "/a/first")
            at.say_later(milliseconds{200}, got.m_connection, whole(got));
        else if (got.m_path == "/a/second")
            at.say(got.m_connection, success(got) + chunked + "\r\n~junk~\r\n");
        else
            at.say(got.m_connection, whole(got));
    };
    m_armed = true;
    raw_caller caller{m_settings.m_callers};
    caller.write(text_of("GET", "/a/first") + text_of("GET", "/a/second") +
                 text_of("GET", "/a/third"));
    const auto answers = [&] {
        int count = 0;
        for (auto at = caller.bytes().find("HTTP/1.1 ");
             at != std::string::npos;
             at = caller.bytes().find("HTTP/1.1 ", at + 1))
            ++count;
        return count;
    };
    turn_until([&] { return !caller.read() || answers() == 3; });
    EXPECT_EQ(answers(), 3) << caller.bytes();
    EXPECT_EQ(caller.error(), 0);
}

INSTANTIATE_TEST_SUITE_P(entry, malformed_bodies,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
