// Requests that are begun while those before them on their connection are in
// progress: which ones, in what number, and the order of their answers.
#include "test/io/early_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_early : public test::early_fixture {};

} // namespace

// Guards against one slow answer after another on a connection.
TEST_F(http_server_early, all_begin_at_once_and_are_answered_in_order) {
    raw_caller caller{m_where};
    caller.write(get("/0") + get("/1") + get("/2") + get("/3"));
    run_until_received(4);
    EXPECT_EQ(m_server.active(), 4U);
    for (const std::size_t number : {3U, 1U, 2U})
        answer(number, "body" + std::to_string(number));
    run_for(several_looks);
    caller.read();
    EXPECT_EQ(caller.bytes(), "");
    EXPECT_FALSE(m_server.awaits_turn(m_exchanges[0]));
    EXPECT_TRUE(m_server.awaits_turn(m_exchanges[1]));
    answer(0, "body0");
    run_until_text(caller, "body3");
    std::size_t before = 0;
    for (int i = 0; i < 4; ++i) {
        const auto place = caller.bytes().find("body" + std::to_string(i));
        EXPECT_GE(place, before);
        before = place;
    }
    run_until([this] { return m_closed == 4; });
    EXPECT_EQ(m_server.active(), 0U);
    for (const auto& [key, complete] : m_ends)
        EXPECT_TRUE(complete);
}

// Guards against an early request that the owner sees differently, for example
// one that matches another rule.
TEST_F(http_server_early, looks_as_if_h2o_had_handed_it_over) {
    const std::vector<std::string> requests{
        get("/a?b=c%20d&e"),
        get("/a", "X-Mixed-Case: Some Value \r\nx-empty:\r\nX-Twice: 1\r\n"
                  "X-Twice: 2\r\n"),
        get("/a", "Accept: */*\r\nCookie: a=b\r\nConnection: Keep-Alive\r\n"),
        get("/a", "Accept-Encoding: gzip\r\nAuthorization: x\r\nTE: t\r\n"
                  "Via: 1.1 x\r\nRange: bytes=0-1\r\nIf-Match: \"a\"\r\n"),
        "HEAD /%2e%2e/b/../c//d HTTP/1.1\r\nHOST:  name.example:80\r\n\r\n",
        "\r\nGET /a#b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/1.1\nHost: h\nX: y\n\n"};
    for (const std::string& request : requests) {
        m_seen.clear();
        m_exchanges.clear();
        raw_caller direct{m_where};
        direct.write(request);
        run_until_received(1);
        raw_caller behind{m_where};
        behind.write(m_get + request);
        run_until_received(3);
        EXPECT_TRUE(m_server.awaits_turn(m_exchanges[2]));
        EXPECT_EQ(m_seen[0].m_text, m_seen[2].m_text) << request;
        for (const exchange_id key : m_exchanges)
            m_server.answer(key, 200, {}, "");
    }
}

TEST_F(http_server_early, their_number_is_bounded) {
    constexpr std::size_t all = 20;
    constexpr std::size_t most = 8;
    raw_caller caller{m_where};
    std::string text;
    for (std::size_t i = 0; i < all; ++i)
        text += get("/");
    caller.write(text);
    for (std::size_t i = 0; i < all; ++i) {
        run_for(milliseconds{25});
        EXPECT_EQ(m_exchanges.size(), std::min(i + most, all));
        answer(i, "");
    }
    run_until([&] { return static_cast<std::size_t>(m_closed) == all; });
}

TEST_F(http_server_early, none_begins_without_consent_or_with_a_limit_of_one) {
    const auto begun = [this] {
        m_exchanges.clear();
        raw_caller caller{m_where};
        caller.write(get("/") + get("/"));
        run_for(several_looks);
        return m_exchanges.size();
    };
    EXPECT_EQ(begun(), 2U);
    set_handlers(false);
    EXPECT_EQ(begun(), 1U);
    set_handlers(true);
    for (const std::size_t limit : {0U, 1U}) {
        io::server_limits limits{body_limit, seconds{60}};
        limits.m_concurrent_requests = limit;
        m_server.set_limits(limits);
        EXPECT_EQ(begun(), 1U);
    }
}

// Guards against a request that is begun although its end, or what it asks
// for, is not certain, and against what overtakes it.
TEST_F(http_server_early, no_other_kind_begins_or_is_overtaken) {
    const std::string fields = " / HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> requests{
        "POST" + fields + "Content-Length: 0\r\n\r\n",
        "POST" + fields + "Content-Length: 5\r\n\r\nhello",
        "POST" + fields +
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "GET" + fields + "Content-Length: 5\r\n\r\nhello",
        "GET" + fields + "Content-Length: 0\r\n\r\n",
        "GET" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET" + fields + "Upgrade: websocket\r\n\r\n",
        "OPTIONS" + fields + "\r\n",
        "DELETE" + fields + "\r\n",
        "get" + fields + "\r\n",
        "GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
        "GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET" + fields + "Connection: keep-alive, x\r\n\r\n",
        get("/unsafe")};
    for (const std::string& request : requests) {
        SCOPED_TRACE(request);
        m_exchanges.clear();
        raw_caller caller{m_where};
        caller.write(get("/") + request + get("/"));
        run_for(milliseconds{50});
        EXPECT_EQ(m_exchanges.size(), 1U);
        answer(0, "");
        run_until_received(2);
        run_for(milliseconds{50});
        // Some of these kinds may have others begun behind them. h2o ignores
        // an Upgrade that the Connection field does not name.
        const bool leads =
            request.starts_with("GET") &&
            request.find("Content-Length") == std::string::npos &&
            request.find("Transfer") == std::string::npos &&
            request.find("HTTP/1.0") == std::string::npos &&
            request.find("unsafe") == std::string::npos;
        EXPECT_EQ(m_exchanges.size(), leads ? 3U : 2U);
        answer(1, "");
        run_until_received(3);
        answer(2, "");
        run_until_text(caller, "HTTP/1.1 200 ");
        run_until([&] {
            caller.read();
            return count(caller.bytes(), "HTTP/1.1 200 ") == 3;
        });
    }
}

TEST_F(http_server_early, a_head_beyond_the_limit_does_not_begin) {
    io::server_limits limits{body_limit, seconds{60}, 100};
    m_server.set_limits(limits);
    raw_caller caller{m_where};
    caller.write(get("/") +
                 get("/", "X-Long: " + std::string(200, 'x') + "\r\n") +
                 get("/"));
    run_for(several_looks);
    EXPECT_EQ(m_exchanges.size(), 1U);
    answer(0, "");
    run_until_text(caller, "HTTP/1.1 431 ");
    run_until_received(2);
}

// A request that began within the limit is answered when the limit was lowered
// meanwhile.
TEST_F(http_server_early, a_lowered_limit_spares_what_has_begun) {
    raw_caller caller{m_where};
    caller.write(get("/") +
                 get("/", "X-Long: " + std::string(200, 'x') + "\r\n"));
    run_until_received(2);
    m_server.set_limits({body_limit, seconds{60}, 100});
    answer(1, "second");
    answer(0, "first");
    run_until_text(caller, "second");
    EXPECT_EQ(m_exchanges.size(), 2U);
}

// Guards against a request that is begun twice, or whose end is taken for
// another one than h2o's, wherever its bytes were cut.
TEST_F(http_server_early, a_request_cut_at_any_byte_begins_once_it_is_whole) {
    const std::string next = get("/next", "X-A: b\r\n");
    for (std::size_t cut = 0; cut <= next.size(); ++cut) {
        SCOPED_TRACE(cut);
        m_exchanges.clear();
        raw_caller caller{m_where};
        caller.write(get("/") + next.substr(0, cut));
        run_until_received(1);
        run_for(milliseconds{1});
        EXPECT_EQ(m_exchanges.size(), cut < next.size() ? 1U : 2U);
        caller.write(next.substr(cut) + next);
        run_until_received(3);
        EXPECT_TRUE(m_server.awaits_turn(m_exchanges[1]));
        answer(2, "third");
        answer(0, "first");
        answer(1, "second");
        run_until_text(caller, "third");
        EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 200 "), 3U);
        EXPECT_EQ(m_exchanges.size(), 3U);
    }
}

// Guards against input that is found at a wrong place, when it lies partly with
// h2o and partly with the kernel and requests end in different pieces of it.
TEST_F(http_server_early, a_long_pipeline_in_odd_pieces_stays_in_order) {
    constexpr std::size_t all = 300;
    raw_caller caller{m_where};
    std::string text;
    std::string expected;
    for (std::size_t i = 0; i < all; ++i) {
        text += get("/" + std::to_string(i),
                    "X: " + std::string(i % 97, 'x') + "\r\n");
        expected += "<" + std::to_string(i) + ">";
    }
    std::size_t answered = 0;
    std::size_t step = 0;
    run_until([&] {
        std::string piece = text.substr(0, 1 + ++step * 37 % 701);
        text.erase(0, piece.size());
        if (!piece.empty())
            caller.write(piece);
        // The last one first, so that most answers are held.
        if (m_exchanges.size() - answered >= 5 || text.empty()) {
            for (std::size_t i = m_exchanges.size(); i > answered; --i)
                answer(i - 1, "<" + std::to_string(i - 1) + ">");
            answered = m_exchanges.size();
        }
        caller.read();
        return count(caller.bytes(), "HTTP/1.1 200 ") == all;
    });
    EXPECT_EQ(m_exchanges.size(), all);
    std::string bodies;
    for (std::size_t at = caller.bytes().find('<'); at != std::string::npos;
         at = caller.bytes().find('<', at + 1))
        bodies +=
            caller.bytes().substr(at, caller.bytes().find('>', at) - at + 1);
    EXPECT_EQ(bodies, expected);
    for (std::size_t i = 0; i < all; ++i)
        EXPECT_NE(m_seen[i].m_text.find("/" + std::to_string(i) + "\n"),
                  std::string::npos);
}
