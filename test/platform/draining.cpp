// What callers of an entry on the users' platform get while it shuts down.
#include <functional>
#include <thread>

#include "test/io/raw_caller.hpp"
#include "test/platform/draining_fixture.hpp"

using namespace skylark;
using skylark::test::draining_node;
using skylark::test::long_configuration;

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

// Its peers tell an entry that leaves nothing more.
TEST_F(draining_node, a_change_is_in_force_within_its_limit) {
    start_with_holding_upstream();
    entry::settings other = m_settings;
    other.m_name = "e2";
    other.m_zone = "b";
    other.m_callers = test::own_address();
    other.m_control = test::own_address();
    other.m_peer = other.m_control;
    other.m_lookup = test::own_address();
    other.m_ready = test::own_address();
    other.m_seeds = {m_settings.m_peer};
    entry::node second{m_loop, other};
    ASSERT_TRUE(second.start());
    const auto status_at_second = [&](const std::string& path) {
        io::fetch_request what;
        what.m_to = other.m_callers;
        what.m_path = path;
        what.m_host = "none.example";
        return status(call(what));
    };
    turn_until([&] { return status_at_second("/") == 404; });
    turn_until([&] {
        const auto got = get(*m_settings.m_lookup, "/resolve?name=x&zone=a");
        const auto* answer = std::get_if<io::fetch_answer>(&got);
        return answer &&
               answer->m_body.find(other.m_callers.text()) != std::string::npos;
    });
    second.drain();
    // Its last call to the store has ended by then.
    const time_point asked = io::event_loop::now();
    while (io::event_loop::now() - asked < other.m_apply_limit)
        m_loop.run_once(milliseconds{1});
    std::string changed = long_configuration;
    changed.replace(changed.find("00000007"), 8, "00000008");
    changed.replace(changed.find("/a/"), 3, "/c/");
    m_store.put("op/config", changed);
    const time_point limit = io::event_loop::now() + other.m_apply_limit;
    const auto removed = [&] {
        io::fetch_request what;
        what.m_to = other.m_callers;
        what.m_path = "/a/x";
        what.m_host = "h.example";
        what.m_headers = {{"Request-Id", "r2"}, {"Deadline-Ms", "1"}};
        return status(call(what)) == 404;
    };
    while (!removed() && io::event_loop::now() < limit)
        m_loop.run_once(milliseconds{1});
    EXPECT_TRUE(removed());
}

TEST_F(draining_node, ends_although_callers_that_it_can_only_refuse_come_back) {
    m_settings.m_drain_limit = seconds{10};
    m_settings.m_entries_ttl = milliseconds{200};
    start_with_holding_upstream();
    m_node->drain();
    const time_point began = io::event_loop::now();
    int refused = 0;
    const std::function<void()> come_back = [&] {
        if (m_got && status(*m_got) == 503)
            ++refused;
        m_got.reset();
        send("60000");
        m_loop.after(milliseconds{20}, come_back);
    };
    come_back();
    m_loop.run();
    EXPECT_GT(refused, 0);
    EXPECT_LT(io::event_loop::now() - began, m_settings.m_drain_limit / 2);
}

TEST_F(draining_node, silent_connections_are_closed_and_not_reset) {
    m_settings.m_drain_limit = milliseconds{500};
    start_with_holding_upstream();
    test::raw_caller silent{m_settings.m_callers};
    m_node->drain();
    bool open = true;
    const time_point began = io::event_loop::now();
    while (open && io::event_loop::now() - began < seconds{10}) {
        m_loop.run_once(milliseconds{1});
        open = silent.read();
    }
    EXPECT_FALSE(open);
    EXPECT_EQ(silent.error(), 0);
}

TEST_F(draining_node, a_stall_before_the_signal_cuts_no_request_in_progress) {
    m_settings.m_drain_limit = milliseconds{1500};
    start_with_holding_upstream();
    send("30000");
    turn_until([this] { return !m_upstream.m_held.empty(); });
    m_loop.after(duration{0}, [this] {
        std::this_thread::sleep_for(milliseconds{1300});
        m_node->drain();
        m_loop.after(milliseconds{700}, [this] { m_upstream.answer_all(); });
    });
    m_loop.run();
    ASSERT_TRUE(m_got.has_value());
    EXPECT_EQ(status(*m_got), 200);
}

TEST_F(draining_node, a_request_that_comes_in_a_stall_at_the_end_is_answered) {
    m_settings.m_drain_limit = milliseconds{500};
    start_with_holding_upstream();
    m_node->drain();
    test::raw_caller caller{m_settings.m_callers};
    caller.write("GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
                 "Deadline-Ms: 900\r\n\r\n");
    std::this_thread::sleep_for(milliseconds{700});
    m_loop.run();
    EXPECT_FALSE(caller.read());
    EXPECT_EQ(caller.error(), 0);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 503 "));
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

TEST_F(draining_node, a_request_behind_another_is_refused_and_not_dropped) {
    start_with_holding_upstream();
    const auto post = [](const std::string& name, const std::string& deadline) {
        return "POST /b/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + name +
               "\r\nDeadline-Ms: " + deadline + "\r\nContent-Length: 0\r\n\r\n";
    };
    test::raw_caller caller{m_settings.m_callers};
    caller.write(post("r1", "800"));
    turn_until([this] { return !m_upstream.m_held.empty(); });
    caller.write(post("r2", "30000"));
    m_node->drain();
    m_upstream.answer_all();
    turn_until([&] { return !caller.read(); });
    EXPECT_EQ(caller.error(), 0);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 200 "));
    const auto refusal = caller.bytes().find("HTTP/1.1 503 ");
    ASSERT_NE(refusal, std::string::npos);
    EXPECT_GT(caller.bytes().find("Connection: close\r\n"), refusal);
    EXPECT_TRUE(m_upstream.m_held.empty());
}

TEST_F(draining_node, a_request_that_came_after_a_pause_keeps_its_whole_time) {
    start_with_holding_upstream();
    m_node->drain();
    constexpr auto allowed = milliseconds{800};
    for (int i = 0; i < most_refusals && m_upstream.m_held.empty(); ++i) {
        test::raw_caller caller{m_settings.m_callers};
        time_point sent;
        m_loop.after(duration{0}, [&] {
            std::this_thread::sleep_for(defaults::pause_limit +
                                        milliseconds{200});
            sent = io::event_loop::now();
            caller.write("POST /b/x HTTP/1.1\r\nHost: h.example\r\n"
                         "Request-Id: r1\r\nDeadline-Ms: 800\r\n"
                         "Content-Length: 4\r\n\r\nbook");
        });
        turn_until([&] { return !caller.read() || !caller.bytes().empty(); });
        if (m_upstream.m_held.empty()) // refused for want of a probe's answer
            continue;
        EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 504 "));
        EXPECT_GE(io::event_loop::now() - sent, allowed);
        return;
    }
    FAIL() << "no request has reached the upstream";
}

TEST_F(draining_node,
       a_request_that_waited_through_a_pause_has_less_time_left) {
    start_with_holding_upstream();
    constexpr auto pause = defaults::pause_limit + milliseconds{200};
    constexpr auto allowed = pause + milliseconds{400};
    constexpr auto clock_step = milliseconds{10};
    for (int i = 0; i < most_refusals && m_upstream.m_held.empty(); ++i) {
        test::raw_caller caller{m_settings.m_callers};
        m_loop.after(duration{0}, [&] {
            caller.write("POST /b/x HTTP/1.1\r\nHost: h.example\r\n"
                         "Request-Id: r1\r\nDeadline-Ms: " +
                         std::to_string(to_ms(allowed)) +
                         "\r\nContent-Length: 4\r\n\r\nbook");
            std::this_thread::sleep_for(pause);
        });
        turn_until([&] {
            return !m_upstream.m_held.empty() || !caller.bytes().empty() ||
                   !caller.read();
        });
    }
    ASSERT_FALSE(m_upstream.m_held.empty());
    EXPECT_LE(std::stoi(m_upstream.m_deadline),
              to_ms(allowed - pause + 2 * clock_step));
}
