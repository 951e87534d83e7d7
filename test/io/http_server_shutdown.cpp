// End of a server: no caller whose request was read loses its answer.
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_shutdown_test : public test::http_server_fixture {
protected:
    void run_until_drained() {
        run_until([this] { return m_server.drained(); });
    }

    // Longer than the server waits for the first request of a connection.
    void run_past_idle_checks() {
        const time_point end = io::event_loop::now() + milliseconds{200};
        while (io::event_loop::now() < end)
            m_loop.run_once(milliseconds{10});
    }

    static bool is_whole_refusal(const raw_caller& caller) {
        return caller.error() == 0 &&
               caller.bytes().starts_with("HTTP/1.1 503 ") &&
               caller.bytes().find("Connection: close\r\n") !=
                   std::string::npos &&
               body_of(caller) == "refused";
    }
};

constexpr int small_buffer = 4096;
constexpr std::size_t answer_size = 100'000;

} // namespace

TEST_F(http_server_shutdown_test, callers_in_the_listen_queue_are_answered) {
    m_refuse_all = true;
    constexpr std::size_t count = 200;
    std::vector<std::unique_ptr<raw_caller>> callers;
    callers.reserve(count);
    while (callers.size() < count) {
        callers.push_back(std::make_unique<raw_caller>(m_where));
        callers.back()->write(m_get);
    }
    m_server.begin_shutdown();
    EXPECT_FALSE(m_server.drained());
    std::size_t answered = 0;
    for (const auto& caller : callers) {
        run_until_closed(*caller);
        answered += is_whole_refusal(*caller) ? 1 : 0;
    }
    EXPECT_EQ(answered, count);
    run_until_drained();
}

TEST_F(http_server_shutdown_test, later_callers_are_not_accepted) {
    m_server.begin_shutdown();
    raw_caller late{m_where};
    EXPECT_FALSE(late.read());
    run_until_drained();
}

TEST_F(http_server_shutdown_test, idle_connections_are_not_reset) {
    raw_caller silent{m_where};
    raw_caller answered{m_where};
    answered.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {}, "hello");
    run_until([&] { return m_server.connections() == 2 && m_closed == 1; });
    raw_caller queued{m_where};
    EXPECT_FALSE(m_server.drained());
    m_server.begin_shutdown();
    for (raw_caller* caller : {&silent, &answered, &queued}) {
        run_until_closed(*caller);
        EXPECT_EQ(caller->error(), 0);
    }
    EXPECT_EQ(body_of(answered), "hello");
    run_until_drained();
    EXPECT_EQ(m_server.connections(), 0U);
}

TEST_F(http_server_shutdown_test, an_open_exchange_is_waited_for) {
    raw_caller caller{m_where};
    caller.write(m_get);
    run_until_received(1);
    m_server.begin_shutdown();
    run_past_idle_checks();
    EXPECT_FALSE(m_server.drained());
    m_server.answer(m_exchanges.front(), 503, {}, "refused");
    run_until_closed(caller);
    EXPECT_TRUE(is_whole_refusal(caller));
    run_until_drained();
}

TEST_F(http_server_shutdown_test, unfinished_requests_are_waited_for) {
    raw_caller partial_head{m_where};
    partial_head.write("GET / HTTP/1.1\r\n");
    raw_caller partial_body{m_where};
    partial_body.write("POST / HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 5\r\n\r\nhel");
    raw_caller partial_next_head{m_where};
    partial_next_head.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {}, "");
    run_until([this] { return m_closed == 1; });
    partial_next_head.write("G");
    m_server.begin_shutdown();
    run_past_idle_checks();
    EXPECT_FALSE(m_server.drained());
    EXPECT_EQ(m_server.connections(), 3U);
    m_refuse_all = true;
    partial_head.write("Host: h\r\n\r\n");
    partial_body.write("lo");
    partial_next_head.write("ET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until_closed(partial_head);
    EXPECT_TRUE(is_whole_refusal(partial_head));
    run_until_closed(partial_body);
    EXPECT_TRUE(is_whole_refusal(partial_body));
    run_until_closed(partial_next_head);
    EXPECT_EQ(partial_next_head.error(), 0);
    EXPECT_TRUE(partial_next_head.bytes().ends_with("refused"));
    run_until_drained();
}

TEST_F(http_server_shutdown_test, pipelined_requests_are_all_answered) {
    raw_caller caller{m_where};
    caller.write(std::string{m_get} + m_get);
    run_until_received(1);
    m_server.begin_shutdown();
    caller.write(m_get);
    m_refuse_all = true;
    m_server.answer(m_exchanges.front(), 503, {}, "refused");
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), 3U);
    const std::string& all = caller.bytes();
    const auto closing = all.find("Connection: close\r\n");
    EXPECT_GT(closing, all.rfind("HTTP/1.1 503 "));
    EXPECT_LT(closing, all.size());
    EXPECT_TRUE(all.ends_with("refused"));
    run_until_drained();
}

TEST_F(http_server_shutdown_test, input_behind_a_closing_answer_spares_it) {
    {
        raw_caller caller{m_where};
        caller.write(m_get);
        run_until_received(1);
        m_server.begin_shutdown();
        m_server.answer(m_exchanges.front(), 503, {}, "refused");
        caller.write(m_get);
        run_until_closed(caller);
        EXPECT_TRUE(is_whole_refusal(caller));
        EXPECT_EQ(m_exchanges.size(), 1U);
        EXPECT_FALSE(m_server.drained());
    }
    run_until_drained();
}

TEST_F(http_server_shutdown_test, a_request_behind_a_started_answer_is_served) {
    raw_caller caller{m_where};
    caller.write(std::string{m_get} + m_get);
    run_until_received(1);
    m_server.start(m_exchanges.front(), 200, {}, 5);
    m_server.begin_shutdown();
    m_refuse_all = true;
    m_server.send(m_exchanges.front(), "hello", true);
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_TRUE(caller.bytes().ends_with("refused"));
    run_until_drained();
}

// The request arrives between the loop's reading and the check for idle
// connections, which is due in the same iteration.
TEST_F(http_server_shutdown_test, a_request_that_is_not_read_yet_is_served) {
    raw_caller caller{m_where};
    caller.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {}, "");
    run_until([this] { return m_closed == 1; });
    m_refuse_all = true;
    m_loop.after(duration{0}, [&] { caller.write(m_get); });
    m_server.begin_shutdown();
    std::this_thread::sleep_for(milliseconds{50});
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_TRUE(caller.bytes().ends_with("refused"));
    run_until_drained();
}

TEST_F(http_server_shutdown_test, ended_connections_deliver_and_hold_nobody) {
    raw_caller answered{m_where};
    answered.write(m_get);
    run_until_received(1);
    raw_caller waiting{m_where};
    waiting.write(m_get);
    run_until_received(2);
    m_server.answer(m_exchanges.front(), 200, {}, "hello");
    run_until([this] { return m_closed == 1; });
    m_server.end_connections();
    // The loop does not turn again, as in a process that has ended its loop.
    EXPECT_FALSE(answered.read());
    EXPECT_EQ(body_of(answered), "hello");
    EXPECT_EQ(answered.error(), 0);
    EXPECT_FALSE(waiting.read());
    EXPECT_EQ(waiting.error(), 0);
}

TEST_F(http_server_shutdown_test, a_sent_answer_is_waited_for) {
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.begin_shutdown();
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(answer_size, 'x'));
    run_until([this] { return m_closed == 1; });
    run_past_idle_checks();
    EXPECT_FALSE(m_server.drained());
    run_until_closed(caller);
    EXPECT_EQ(body_of(caller).size(), answer_size);
    run_until_drained();
}

TEST_F(http_server_shutdown_test, an_idle_connection_delivers_its_answer) {
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(answer_size, 'x'));
    run_until([this] { return m_closed == 1; });
    m_server.begin_shutdown();
    run_past_idle_checks();
    EXPECT_FALSE(m_server.drained());
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(body_of(caller).size(), answer_size);
    run_until_drained();
}

TEST_F(http_server_shutdown_test, a_caller_that_still_sends_is_waited_for) {
    std::string rest(std::size_t{8} << 20U, 'x');
    raw_caller caller{m_where};
    m_server.begin_shutdown();
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(rest.size()) + "\r\n\r\n");
    run_until([&] {
        EXPECT_FALSE(m_server.drained());
        return !caller.write_some(rest) || rest.empty();
    });
    EXPECT_TRUE(rest.empty());
    run_until_closed(caller);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 413 "));
    EXPECT_EQ(caller.error(), 0);
}
