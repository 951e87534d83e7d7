// Requests behind others on one connection, of every kind of framing.
#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_pipelining_test : public test::http_server_fixture {
protected:
    void run_for(duration time) {
        const time_point end = io::event_loop::now() + time;
        while (io::event_loop::now() < end)
            m_loop.run_once(milliseconds{1});
    }

    // Answers each request one turn after another until the caller's
    // connection is closed.
    void answer_all(raw_caller& caller, int status = 200) {
        std::size_t next = 0;
        run_until([&] {
            if (next < m_exchanges.size())
                m_server.answer(m_exchanges[next++], status, {}, "");
            return !caller.read();
        });
    }

    static std::size_t count(std::string_view all, std::string_view part) {
        std::size_t out = 0;
        for (auto at = all.find(part); at != std::string_view::npos;
             at = all.find(part, at + part.size()))
            ++out;
        return out;
    }

    static const std::vector<std::string>& requests() {
        static const std::string fields = " / HTTP/1.1\r\nHost: h\r\n";
        static const std::string chunked =
            "POST" + fields + "Transfer-Encoding: chunked\r\n\r\n";
        static const std::vector<std::string> out{
            "GET" + fields + "\r\n",
            "HEAD" + fields + "\r\n",
            "\r\nGET" + fields + "\r\n",
            "GET / HTTP/1.1\nHost: h\n\n",
            "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
            "POST" + fields + "Content-Length: 0\r\n\r\n",
            "POST" + fields + "Content-Length: 5\r\n\r\n\r\n\r\nx",
            chunked + "0\r\n\r\n",
            chunked + "5\r\nhello\r\n3;a=b\r\nxyz\r\n0\r\n\r\n",
            chunked + "5\r\nhello\r\n0\r\nX-Trailer: y\r\n\r\n",
            "POST" + fields +
                "Expect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
        };
        return out;
    }
};

} // namespace

TEST_F(http_server_pipelining_test,
       a_request_cut_at_any_byte_behind_any_other_is_not_dropped) {
    m_server.close_after_answer();
    const std::string next{m_get};
    for (const std::string& first : requests())
        for (std::size_t cut = 1; cut <= next.size(); ++cut) {
            m_exchanges.clear();
            raw_caller caller{m_where};
            caller.write(first + next.substr(0, cut));
            run_until_received(1);
            m_server.answer(m_exchanges.front(), 200, {}, "");
            run_for(milliseconds{1});
            if (cut < next.size())
                caller.write(next.substr(cut));
            run_until_received(2);
            m_server.answer(m_exchanges.back(), 200, {}, "");
            run_until_closed(caller);
            EXPECT_EQ(caller.error(), 0) << first << cut;
            EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 200 "), 2U)
                << first << cut;
            EXPECT_EQ(count(caller.bytes(), "Connection: close\r\n"), 1U)
                << first << cut;
        }
}

TEST_F(http_server_pipelining_test,
       a_request_alone_closes_however_it_was_split) {
    m_server.close_after_answer();
    for (const std::string& request : requests())
        for (std::size_t cut = 1; cut < request.size(); ++cut) {
            m_exchanges.clear();
            raw_caller caller{m_where};
            caller.write(request.substr(0, cut));
            run_for(milliseconds{1});
            caller.write(request.substr(cut));
            run_until_received(1);
            m_server.answer(m_exchanges.front(), 200, {}, "");
            run_until_closed(caller);
            EXPECT_EQ(caller.error(), 0) << request << cut;
            EXPECT_EQ(count(caller.bytes(), "Connection: close\r\n"), 1U)
                << request << cut;
        }
}

TEST_F(http_server_pipelining_test,
       a_request_behind_an_answer_without_body_is_not_dropped) {
    for (const int status : {204, 304, 200, 503})
        for (const std::string method : {"GET", "HEAD"}) {
            m_exchanges.clear();
            m_server.close_after_answer();
            raw_caller caller{m_where};
            const std::string request =
                method + " / HTTP/1.1\r\nHost: h\r\n\r\n";
            caller.write(request + request);
            answer_all(caller, status);
            EXPECT_EQ(caller.error(), 0);
            EXPECT_EQ(m_exchanges.size(), 2U) << status << method;
            EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 "), 2U)
                << status << method;
        }
}

TEST_F(http_server_pipelining_test, a_long_pipeline_is_answered_in_a_shutdown) {
    constexpr std::size_t depth = 5000;
    m_refuse_all = true;
    raw_caller caller{m_where};
    std::string all;
    for (std::size_t i = 0; i < depth; ++i)
        all += m_get;
    m_server.begin_shutdown();
    run_until([&] {
        caller.write_some(all);
        return !caller.read();
    });
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), depth);
    EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 503 "), depth);
    run_until([this] { return m_server.drained(); });
}

TEST_F(http_server_pipelining_test, a_request_behind_a_large_body_is_kept) {
    constexpr std::size_t size = std::size_t{40} << 20U;
    m_server.set_limits({size, seconds{60}});
    m_server.close_after_answer();
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(size) + "\r\n\r\n");
    std::string rest = std::string(size, 'x') + m_get;
    run_until([&] {
        caller.write_some(rest);
        return m_exchanges.size() == 1 && rest.empty();
    });
    EXPECT_EQ(m_server.body(m_exchanges.front()).size(), size);
    answer_all(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), 2U);
}

TEST_F(http_server_pipelining_test,
       a_half_request_behind_holds_a_shutdown_until_the_idle_limit_only) {
    m_server.set_limits({body_limit, milliseconds{500}});
    raw_caller caller{m_where};
    caller.write(std::string{m_get} + "GET / HT");
    run_until_received(1);
    m_server.begin_shutdown();
    m_server.answer(m_exchanges.front(), 200, {}, "");
    run_for(milliseconds{200});
    EXPECT_FALSE(m_server.drained());
    run_until_closed(caller);
    run_until([this] { return m_server.drained(); });
}

TEST_F(http_server_pipelining_test,
       a_request_behind_one_with_too_large_a_head_is_not_dropped) {
    m_server.set_limits({body_limit, seconds{60}, 100});
    raw_caller caller{m_where};
    caller.write("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " +
                 std::string(200, 'x') + "\r\n\r\n" + m_get);
    run_until([&] { return !caller.read() || m_exchanges.size() == 1; });
    EXPECT_EQ(m_exchanges.size(), 1U);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 431 "));
}

TEST_F(http_server_pipelining_test,
       a_431_without_a_body_is_no_part_of_the_next_answer) {
    m_server.set_limits({body_limit, seconds{60}, 100});
    raw_caller caller{m_where};
    caller.write("HEAD / HTTP/1.1\r\nHost: h\r\nX-Long: " +
                 std::string(200, 'x') + "\r\n\r\n" + m_get);
    m_refuse_all = true;
    run_until([&] { return !caller.read() || m_closed == 1; });
    run_until([&] {
        return !caller.read() || count(caller.bytes(), "refused") == 1;
    });
    EXPECT_TRUE(body_of(caller).starts_with("HTTP/1.1 503 ")) << caller.bytes();
}

TEST_F(http_server_pipelining_test,
       a_431_closes_in_a_drain_with_nothing_behind) {
    m_server.set_limits({body_limit, seconds{60}, 100});
    m_server.close_after_answer();
    raw_caller caller{m_where};
    caller.write("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " +
                 std::string(200, 'x') + "\r\n\r\n");
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(count(caller.bytes(), "Connection: close\r\n"), 1U);
}

TEST_F(http_server_pipelining_test,
       a_request_sent_during_a_closing_answer_that_lasts_is_not_dropped) {
    constexpr int small_buffer = 4096;
    m_server.close_after_answer();
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(std::size_t{8} << 20U, 'x'));
    run_for(milliseconds{50});
    caller.write(m_get);
    run_for(milliseconds{300});
    m_refuse_all = true;
    run_until([&] { return !caller.read(); });
    EXPECT_EQ(m_exchanges.size(), 2U);
}

// A caller with many requests behind each other must not keep the others
// waiting until all of them are answered.
TEST_F(http_server_pipelining_test,
       requests_answered_at_once_are_spread_over_iterations) {
    constexpr std::size_t sent = 2000;
    constexpr std::size_t most_in_iteration = 32;
    m_refuse_all = true;
    raw_caller caller{m_where};
    std::string rest;
    for (std::size_t i = 0; i < sent; ++i)
        rest += m_get;
    std::size_t most = 0;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < sent && answered < sent; ++i) {
        caller.write_some(rest);
        const std::size_t before = m_exchanges.size();
        m_loop.run_once(milliseconds{1});
        most = std::max(most, m_exchanges.size() - before);
        caller.read();
        answered = count(caller.bytes(), "HTTP/1.1 503 ");
    }
    EXPECT_EQ(answered, sent);
    EXPECT_LE(most, most_in_iteration);
}

// The owner does not know yet of a request that waits for the next iteration.
TEST_F(http_server_pipelining_test,
       a_caller_that_leaves_takes_waiting_requests_with_it) {
    constexpr int sent = 500;
    m_refuse_all = true;
    {
        raw_caller caller{m_where};
        std::string all;
        for (int i = 0; i < sent; ++i)
            all += m_get;
        caller.write(all);
        run_until_received(1);
        caller.reset_at_end();
    }
    run_until([&] { return m_server.connections() == 0; });
    EXPECT_EQ(m_server.active(), 0U);
    EXPECT_EQ(static_cast<std::size_t>(m_closed), m_exchanges.size());
}
