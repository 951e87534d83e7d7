// The idle time limit: connections without a request end, others do not.
#include <thread>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_idle_test : public test::http_server_fixture {
protected:
    void limit_idle_time(duration to) { m_server.set_limits({body_limit, to}); }

    void run_for(duration time) {
        const time_point end = io::event_loop::now() + time;
        while (io::event_loop::now() < end)
            m_loop.run_once(milliseconds{1});
    }

    // Leaves the connection idle.
    void exchange(raw_caller& caller) {
        const std::size_t before = m_exchanges.size();
        caller.write(m_get);
        run_until_received(before + 1);
        const int closed = m_closed;
        m_server.answer(m_exchanges.back(), 200, {}, "");
        run_until([&] { return m_closed > closed; });
    }

    static constexpr auto limit = milliseconds{500};
    static constexpr const char* m_upload =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n";
};

} // namespace

TEST_F(http_server_idle_test, a_body_that_follows_a_wait_is_not_cut) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    exchange(caller);
    run_for(limit * 4 / 5);
    caller.write(std::string{m_upload} + "hello");
    run_for(limit * 3 / 5);
    caller.write("world");
    run_until([&] { return !caller.read() || m_exchanges.size() == 2; });
    ASSERT_EQ(m_exchanges.size(), 2U);
    EXPECT_EQ(m_server.body(m_exchanges.back()), "helloworld");
}

TEST_F(http_server_idle_test, a_lowered_limit_spares_a_request_that_arrives) {
    raw_caller caller{m_where};
    caller.write(std::string{m_upload} + "hello");
    run_for(limit);
    limit_idle_time(limit / 5);
    run_for(limit);
    caller.write("world");
    run_until([&] { return !caller.read() || m_exchanges.size() == 1; });
    ASSERT_EQ(m_exchanges.size(), 1U);
    EXPECT_EQ(m_server.body(m_exchanges.back()), "helloworld");
}

// The request arrives between the loop's reading and the check that is due in
// the same iteration.
TEST_F(http_server_idle_test, a_request_that_is_not_read_yet_is_served) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    exchange(caller);
    m_loop.after(duration{0}, [&] { caller.write(m_get); });
    std::this_thread::sleep_for(limit);
    run_until([&] { return !caller.read() || m_exchanges.size() == 2; });
    EXPECT_EQ(m_exchanges.size(), 2U);
}

TEST_F(http_server_idle_test, idle_connections_are_closed_at_the_limit) {
    limit_idle_time(limit);
    raw_caller unused{m_where};
    raw_caller used{m_where};
    exchange(used);
    const time_point began = io::event_loop::now();
    run_for(limit * 4 / 5);
    EXPECT_TRUE(used.read());
    EXPECT_TRUE(unused.read());
    run_until_closed(used);
    run_until_closed(unused);
    EXPECT_EQ(used.error(), 0);
    EXPECT_EQ(unused.error(), 0);
    EXPECT_GE(io::event_loop::now() - began, limit * 4 / 5);
    run_until([this] { return m_server.connections() == 0; });
}

TEST_F(http_server_idle_test, a_request_that_never_ends_is_closed) {
    limit_idle_time(limit);
    raw_caller head{m_where};
    raw_caller body{m_where};
    head.write("GET / HT");
    body.write(std::string{m_upload} + "hello");
    run_until_closed(head);
    run_until_closed(body);
    EXPECT_EQ(m_exchanges.size(), 0U);
    ASSERT_EQ(m_discarded.size(), 2U);
    EXPECT_EQ(m_discarded.front().first, io::discard_cause::time_limit);
    EXPECT_EQ(m_discarded.back().first, io::discard_cause::time_limit);
}

TEST_F(http_server_idle_test, a_request_in_progress_is_not_idle) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    for (const std::string& request :
         {std::string{m_get}, m_upload + std::string(10, 'x')}) {
        const std::size_t before = m_exchanges.size();
        caller.write(request);
        run_until_received(before + 1);
        run_for(limit * 3);
        const int closed = m_closed;
        m_server.answer(m_exchanges.back(), 200, {}, "");
        run_until([&] { return m_closed > closed; });
        EXPECT_TRUE(m_complete);
        EXPECT_TRUE(caller.read());
    }
}

// The request arrives in a long turn of the loop, the check follows in it.
TEST_F(http_server_idle_test, a_request_that_is_not_read_yet_is_not_cut) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    exchange(caller);
    run_for(limit / 2);
    m_loop.after(duration{0}, [&] {
        caller.write(m_get);
        std::this_thread::sleep_for(limit);
    });
    std::this_thread::sleep_for(limit / 4);
    run_until([&] { return !caller.read() || m_exchanges.size() == 2; });
    EXPECT_EQ(m_exchanges.size(), 2U);
}

TEST_F(http_server_idle_test, a_body_that_is_not_read_yet_is_not_cut) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    caller.write(std::string{m_upload} + "hello");
    run_for(limit / 2);
    m_loop.after(duration{0}, [&] {
        caller.write("world");
        std::this_thread::sleep_for(limit);
    });
    std::this_thread::sleep_for(limit / 4);
    run_until([&] { return !caller.read() || m_exchanges.size() == 1; });
    EXPECT_EQ(m_exchanges.size(), 1U);
}

TEST_F(http_server_idle_test, a_request_that_goes_on_without_end_is_closed) {
    limit_idle_time(limit);
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n1;");
    m_loop.every(milliseconds{1}, [&] {
        std::string more(16, 'x');
        caller.write_some(more);
    });
    run_until_closed(caller);
    ASSERT_FALSE(m_discarded.empty());
    EXPECT_EQ(m_discarded.front().first, io::discard_cause::time_limit);
}
