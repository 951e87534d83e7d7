// Answers whose bodies come later than their heads, or not at all.
#include "test/platform/malformed_fixture.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

constexpr auto route_timeout = milliseconds{1000}; // of the configuration
// Callers may be kept waiting for half a second beyond it.
constexpr auto latest_end = route_timeout + milliseconds{500};

class late_bodies : public malformed_body,
                    public testing::WithParamInterface<entry::deployment> {
protected:
    late_bodies() : malformed_body{GetParam()} {}
};

} // namespace

// The head waits for the first byte of the body and for nothing else.
TEST_P(late_bodies, are_passed_on_from_their_first_byte_on) {
    start_upstreams();
    scripted_upstream* from = nullptr;
    int connection = 0;
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        from = &at;
        connection = got.m_connection;
        at.say(connection, success(got) + chunked + "\r\n");
    };
    for (const char* method : {"GET", "POST"}) {
        SCOPED_TRACE(method);
        const auto caller = call_armed(method);
        from->say(connection, "1\r\no\r\n");
        const time_point sent = io::event_loop::now();
        turn_until([&] {
            caller->read();
            return caller->bytes().find("1\r\no\r\n") != std::string::npos;
        });
        EXPECT_LT(io::event_loop::now() - sent, milliseconds{200});
        EXPECT_TRUE(caller->bytes().starts_with("HTTP/1.1 200"));
        from->say(connection, "2\r\nwn\r\n0\r\n\r\n");
        turn_until([&] {
            caller->read();
            return caller->bytes().ends_with("2\r\nwn\r\n0\r\n\r\n");
        });
    }
}

TEST_P(late_bodies, that_do_not_come_are_told_as_504_at_the_deadline) {
    start_upstreams();
    for (const std::string& fields : {chunked, five_bytes})
        for (const char* method : {"GET", "POST"}) {
            SCOPED_TRACE(method + std::string{" "} + fields);
            m_fault = {"", fields};
            const time_point began = io::event_loop::now();
            const auto got = send_armed(method);
            const time_point ended = io::event_loop::now();
            EXPECT_EQ(status(got), 504);
            EXPECT_FALSE(body(got).empty());
            EXPECT_EQ(m_runs, 1);
            EXPECT_GE(ended - began, route_timeout);
            EXPECT_LT(ended - m_first_run, latest_end);
        }
}

TEST_P(late_bodies, of_repeats_are_told_as_504_at_the_deadline) {
    start_upstreams();
    earn_repeats();
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        at.say(got.m_connection, success(got) + chunked + "\r\n");
        if (m_runs == 1)
            at.say_later(milliseconds{100}, got.m_connection, "~junk~\r\n");
    };
    const time_point began = io::event_loop::now();
    const auto got = send_armed("GET");
    const time_point ended = io::event_loop::now();
    EXPECT_EQ(status(got), m_runs == 1 ? 502 : 504);
    EXPECT_TRUE(m_runs == 1 || ended - began >= route_timeout);
    EXPECT_LT(ended - m_first_run, latest_end);
}

// A body of a declared length may go on beyond the deadline, also if it begins
// a moment after it.
TEST_P(late_bodies, of_downloads_may_begin_just_after_the_deadline) {
    start_upstreams();
    constexpr auto first_byte = route_timeout + milliseconds{20};
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        at.say(got.m_connection, success(got) + "Content-Length: 4\r\n\r\n");
        at.say_later(first_byte, got.m_connection, "ab");
        at.say_later(latest_end, got.m_connection, "cd");
    };
    const std::string field = native() ? "Request-Timeout-Ms" : "Deadline-Ms";
    const auto caller = call_armed("GET", field + ": 8000\r\n");
    turn_until([&] {
        return !caller->read() || caller->bytes().ends_with("\r\n\r\nabcd");
    });
    EXPECT_TRUE(caller->bytes().starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(caller->bytes().ends_with("\r\n\r\nabcd"));
}

TEST_P(late_bodies, are_not_awaited_if_there_are_none) {
    start_upstreams();
    std::string fields;
    ending end{};
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        at.say(got.m_connection, with_status(got) + fields, end);
    };
    struct empty_answer {
        const char* m_method;
        int m_status;
        std::string m_fields;
        ending m_end{ending::keep};
    };
    std::vector<empty_answer> answers{
        {"GET", 204, "\r\n"},
        {"GET", 304, "\r\n"},
        {"GET", 200, "Content-Length: 0\r\n\r\n"},
        {"GET", 404, chunked + "\r\n0\r\n\r\n"},
        {"HEAD", 200, five_bytes + "\r\n"},
        {"POST", 200, "Content-Length: 0\r\n\r\n", ending::close}};
    if (!native()) // there, such bodies can't be checked
        answers.push_back({"GET", 200, "X: y\r\n\r\n", ending::close});
    for (const empty_answer& item : answers) {
        SCOPED_TRACE(std::to_string(item.m_status) + item.m_fields);
        m_status = item.m_status;
        fields = item.m_fields;
        end = item.m_end;
        EXPECT_EQ(status(send_armed(item.m_method)), item.m_status);
        EXPECT_LT(io::event_loop::now() - m_first_run, route_timeout);
        EXPECT_EQ(m_runs, 1);
    }
}

TEST_P(late_bodies, of_callers_that_left_are_cancelled_if_idempotent) {
    start_upstreams();
    scripted_upstream* from = nullptr;
    int connection = 0;
    m_serve_armed = [&](scripted_upstream& at, const scripted_request& got) {
        from = &at;
        connection = got.m_connection;
        at.say(connection, success(got) + chunked + "\r\n");
    };
    // A start counts as a planned stop, whose callers may still read.
    const time_point settled =
        io::event_loop::now() + m_settings.m_settling_time;
    turn_until([&] { return io::event_loop::now() > settled; });
    for (const std::string method : {"GET", "POST"}) {
        SCOPED_TRACE(method);
        call_armed(method).reset();
        const time_point left = io::event_loop::now();
        turn_until([&] {
            return from->has_ended(connection) ||
                   io::event_loop::now() - left > milliseconds{500};
        });
        EXPECT_EQ(from->has_ended(connection), method == "GET");
    }
}

INSTANTIATE_TEST_SUITE_P(entry, late_bodies,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });

namespace {

class late_body_beside_a_hedge : public malformed_body {
protected:
    late_body_beside_a_hedge() : malformed_body{entry::deployment::native} {}

    // Sends requests whose first upstream hangs. The second one sends a head,
    // and the rest once the entry has ended the first one's connection. A hedge
    // needs a probe in time.
    void send_hedged(const std::string& rest, int status_expected) {
        start(16);
        m_serve_armed = [&](scripted_upstream& at,
                            const scripted_request& got) {
            if (m_runs > 2)
                at.say(got.m_connection, whole(got));
            if (m_runs == 2)
                at.say(got.m_connection, success(got) + chunked + "\r\n");
            if (m_runs <= 2)
                m_reached.emplace_back(&at, got.m_connection);
        };
        int hedged = 0;
        for (int i = 0; i < tries; ++i) {
            earn_repeats();
            m_reached.clear();
            const auto caller = call_armed("GET");
            const time_point began = io::event_loop::now();
            bool said = false;
            turn_until([&] {
                const bool ended =
                    m_reached[0].first->has_ended(m_reached[0].second);
                if (m_runs == 2 && ended && !std::exchange(said, true))
                    m_reached[1].first->say(m_reached[1].second, rest);
                return !caller->read() || caller->bytes().ends_with("\n");
            });
            const int wanted = m_runs == 1   ? 504
                               : m_runs == 2 ? status_expected
                                             : 200;
            EXPECT_TRUE(caller->bytes().starts_with("HTTP/1.1 " +
                                                    std::to_string(wanted)))
                << m_runs << " runs, " << caller->bytes();
            if (m_runs == 1)
                continue;
            ++hedged;
            EXPECT_LT(io::event_loop::now() - began, route_timeout);
        }
        EXPECT_GT(hedged, 0);
    }

    static constexpr int tries = 5;
    // Upstreams and connections of the first attempts.
    std::vector<std::pair<scripted_upstream*, int>> m_reached;
};

} // namespace

TEST_F(late_body_beside_a_hedge, belongs_to_the_first_head) {
    send_hedged("3\r\nown\r\n0\r\n\r\n", 200);
}

TEST_F(late_body_beside_a_hedge, is_replaced_if_it_is_malformed) {
    send_hedged("~junk~\r\n", 502);
}
