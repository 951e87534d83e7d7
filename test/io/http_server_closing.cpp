// Connections that end: after their answer, with unread input, by an abort.
#include <filesystem>
#include <iterator>
#include <string>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_closing_test : public test::http_server_fixture {};

// Smaller than the answer, so that a part of it waits in the server's socket.
constexpr int small_buffer = 4096;
constexpr std::size_t answer_size = 100'000;
// Closes its connection in a drain.
constexpr std::size_t short_answer = 16'000;
// Beyond the limits, but not beyond h2o's own one.
constexpr std::size_t long_head = 200'000;
// Exceeds all socket buffers.
constexpr std::size_t large_input = std::size_t{8} << 20U;

std::ptrdiff_t open_descriptors() {
    return std::distance(std::filesystem::directory_iterator{"/proc/self/fd"},
                         std::filesystem::directory_iterator{});
}

} // namespace

TEST_F(http_server_closing_test, a_request_behind_another_is_not_dropped) {
    m_server.close_after_answer();
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    caller.write(m_get);
    m_refuse_all = true;
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(answer_size, 'x'));
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), 2U);
    const std::string& all = caller.bytes();
    const auto second = all.find("HTTP/1.1 503 ");
    ASSERT_NE(second, std::string::npos);
    EXPECT_EQ(body_of(caller).substr(0, answer_size),
              std::string(answer_size, 'x'));
    EXPECT_EQ(second, all.find("\r\n\r\n") + 4 + answer_size);
    EXPECT_GT(all.find("Connection: close\r\n"), second);
    EXPECT_TRUE(all.ends_with("refused"));
}

TEST_F(http_server_closing_test, a_part_of_a_request_behind_another_is_kept) {
    m_server.close_after_answer();
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
                 "helloG");
    run_until_received(1);
    m_refuse_all = true;
    m_server.answer(m_exchanges.front(), 200, {}, "");
    run_until([this] { return m_closed == 1; });
    caller.write("ET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until_closed(caller);
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_TRUE(caller.bytes().ends_with("refused"));
}

TEST_F(http_server_closing_test, a_request_behind_a_chunked_one_is_kept) {
    m_server.close_after_answer();
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "5\r\nhello\r\n0\r\n\r\n" +
                 std::string{m_get});
    run_until_received(1);
    EXPECT_EQ(m_server.body(m_exchanges.front()), "hello");
    m_refuse_all = true;
    m_server.answer(m_exchanges.front(), 200, {}, "");
    run_until_closed(caller);
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_TRUE(caller.bytes().ends_with("refused"));
}

TEST_F(http_server_closing_test, answers_close_when_nothing_is_behind) {
    m_server.close_after_answer();
    m_refuse_all = true;
    const std::string fields = " / HTTP/1.1\r\nHost: h\r\n";
    for (const std::string& request :
         {"GET" + fields + "\r\n", "\r\nGET" + fields + "\r\n",
          "GET" + fields + "X: y  \r\n\r\n",
          std::string{"GET / HTTP/1.1\nHost: h\n\n"},
          "POST" + fields + "Content-Length: 0\r\n\r\n",
          "POST" + fields + "Content-Length: 5\r\n\r\nhello",
          "POST" + fields +
              "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"}) {
        raw_caller caller{m_where};
        caller.write(request);
        run_until_closed(caller);
        EXPECT_EQ(caller.error(), 0) << request;
        EXPECT_NE(caller.bytes().find("Connection: close\r\n"),
                  std::string::npos)
            << request;
    }
}

TEST_F(http_server_closing_test,
       a_request_behind_a_long_answer_is_not_dropped) {
    m_server.close_after_answer();
    raw_caller caller{m_where};
    caller.write(m_get);
    run_until_received(1);
    m_server.start(m_exchanges.front(), 200, {}, 10);
    m_server.send(m_exchanges.front(), "hello", false);
    run_until([&] { return !caller.read() || body_of(caller) == "hello"; });
    run_until([this] { return m_ready == 1; });
    caller.write(m_get);
    m_refuse_all = true;
    m_server.send(m_exchanges.front(), "hello", true);
    run_until_closed(caller);
    EXPECT_EQ(m_exchanges.size(), 2U);
    EXPECT_TRUE(caller.bytes().ends_with("refused"));
}

TEST_F(http_server_closing_test, an_answer_survives_input_that_follows_it) {
    m_server.close_after_answer();
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(short_answer, 'x'));
    caller.write(m_get);
    run_until([this] { return m_closed == 1; });
    EXPECT_TRUE(m_complete);
    run_until_closed(caller);
    EXPECT_EQ(body_of(caller).size(), short_answer);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(m_exchanges.size(), 1U);
}

TEST_F(http_server_closing_test, an_answer_survives_when_the_caller_closes) {
    raw_caller caller{m_where, small_buffer};
    caller.write("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    run_until_received(1);
    caller.write("ignored");
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(answer_size, 'x'));
    run_until([this] { return m_closed == 1; });
    run_until_closed(caller);
    EXPECT_EQ(body_of(caller).size(), answer_size);
    EXPECT_EQ(caller.error(), 0);
}

TEST_F(http_server_closing_test, a_413_survives_the_rest_of_the_body) {
    std::string rest(large_input, 'x');
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(rest.size()) + "\r\n\r\n");
    run_until([&] { return !caller.write_some(rest) || rest.empty(); });
    EXPECT_TRUE(rest.empty());
    run_until_closed(caller);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 413 "));
    EXPECT_EQ(caller.error(), 0);
}

TEST_F(http_server_closing_test, a_400_survives_the_rest_of_the_body) {
    std::string rest(large_input, 'x');
    raw_caller caller{m_where};
    caller.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n");
    run_until([&] { return !caller.write_some(rest) || rest.empty(); });
    EXPECT_TRUE(rest.empty());
    run_until_closed(caller);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 400 "));
    EXPECT_EQ(caller.error(), 0);
}

TEST_F(http_server_closing_test, a_431_survives_further_input) {
    m_server.set_limits({body_limit, seconds{60}, 100});
    std::string rest(large_input, 'x');
    raw_caller caller{m_where};
    caller.write("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " +
                 std::string(200, 'x') + "\r\n\r\n");
    run_until([&] { return !caller.write_some(rest) || rest.empty(); });
    EXPECT_TRUE(rest.empty());
    run_until_closed(caller);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 431 "));
    EXPECT_EQ(caller.error(), 0);
}

TEST_F(http_server_closing_test,
       an_answer_survives_an_unfinished_head_beyond_the_limit) {
    m_server.set_limits({body_limit, seconds{60}, 100});
    std::string rest(long_head, 'x');
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {},
                    std::string(answer_size, 'x'));
    run_until([this] { return m_closed == 1; });
    run_until([&] { return !caller.write_some(rest) || rest.empty(); });
    EXPECT_TRUE(rest.empty());
    run_until([this] { return !m_discarded.empty(); });
    caller.write("more");
    run_until_closed(caller);
    EXPECT_EQ(body_of(caller).size(), answer_size);
    EXPECT_EQ(caller.error(), 0);
}

TEST_F(http_server_closing_test,
       an_abort_spares_the_port_at_a_second_listener) {
    const address second = m_server.listen({0x7f000001U, 0}).value();
    raw_caller aborted{m_where, address{0x7f000001U, 0}};
    run_until([this] { return m_server.connections() == 1; });
    raw_caller other{second, aborted.local()};
    other.write(m_get);
    run_until_received(1);
    aborted.write(m_get);
    run_until_received(2);
    m_server.start(m_exchanges[0], 200, {}, 5);
    m_server.start(m_exchanges[1], 200, {}, 5);
    m_server.abort(m_exchanges[1]);
    run_until([&] { return !aborted.read() || !other.read(); });
    m_server.send(m_exchanges[0], "hello", true);
    run_until([&] { return !other.read() || body_of(other) == "hello"; });
    EXPECT_EQ(body_of(other), "hello");
}

TEST_F(http_server_closing_test, connections_are_counted) {
    EXPECT_EQ(m_server.connections(), 0U);
    {
        raw_caller idle{m_where};
        raw_caller asking{m_where};
        asking.write(m_get);
        run_until([this] { return m_server.connections() == 2; });
        run_until_received(1);
        EXPECT_EQ(m_server.active(), 1U);
        m_server.answer(m_exchanges.front(), 200, {}, "");
        run_until([this] { return m_server.active() == 0; });
        EXPECT_EQ(m_server.connections(), 2U);
    }
    run_until([this] { return m_server.connections() == 0; });
}

TEST_F(http_server_closing_test, a_burst_of_callers_waits_for_no_further_turn) {
    constexpr std::size_t count = 60;
    std::vector<std::unique_ptr<raw_caller>> callers;
    callers.reserve(count);
    while (callers.size() < count)
        callers.push_back(std::make_unique<raw_caller>(m_where));
    m_loop.run_once(seconds{1});
    EXPECT_EQ(m_server.connections(), count);
}

TEST_F(http_server_closing_test, closed_connections_free_their_descriptors) {
    m_server.close_after_answer();
    m_refuse_all = true;
    const auto before = open_descriptors();
    for (int i = 0; i < 50; ++i) {
        raw_caller caller{m_where};
        caller.write(std::string{m_get} + m_get);
        run_until_closed(caller);
    }
    run_until([&] { return open_descriptors() == before; });
}

// Its kernel kept what was sent until the caller had read it.
TEST_F(http_server_closing_test, a_caller_that_reads_nothing_can_be_reset) {
    constexpr int small_buffer = 4096;
    const std::string piece(std::size_t{64} << 10U, 'x');
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.start(m_exchanges.front(), 200, {}, std::nullopt);
    m_server.send(m_exchanges.front(), piece, false);
    run_until([this] { return m_ready == 1; });
    EXPECT_GT(m_server.unacknowledged(m_exchanges.front()), 0U);
    m_server.reset_at_end(m_exchanges.front());
    m_server.abort(m_exchanges.front());
    run_until([this] { return m_server.connections() == 0; });
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), ECONNRESET);
    EXPECT_LT(caller.bytes().size(), piece.size());
}

TEST_F(http_server_closing_test, a_reset_takes_no_answer_before_it) {
    constexpr int small_buffer = 4096;
    const std::string body(std::size_t{64} << 10U, 'x');
    raw_caller caller{m_where, small_buffer};
    caller.write(std::string{m_get} + m_get);
    run_until_received(1);
    m_server.answer(m_exchanges.front(), 200, {}, body);
    run_until_received(2);
    m_server.start(m_exchanges.back(), 200, {}, std::nullopt);
    m_server.send(m_exchanges.back(), "begin", false);
    run_until([this] { return m_ready == 1; });
    m_server.reset_at_end(m_exchanges.back());
    m_server.abort(m_exchanges.back());
    // A connection that is reset is closed by then.
    run_until([this] { return m_closed == 2; });
    for (int i = 0; i < 20; ++i)
        m_loop.run_once(milliseconds{1});
    run_until_closed(caller);
    EXPECT_TRUE(body_of(caller).starts_with(body));
}
