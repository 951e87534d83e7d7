// Answers that are held until their turn: their framing, their bounds, and how
// their connections end.
#include "test/io/early_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_held_answers : public test::early_fixture {
protected:
    // What a caller gets for two requests; the second is answered first, or
    // begun only when the first was answered.
    std::string bytes_of(const std::string& second, bool early,
                         const std::function<void(exchange_id)>& give) {
        set_handlers(early);
        m_exchanges.clear();
        raw_caller caller{m_where};
        caller.write(get("/") + second + get("/last"));
        if (early) {
            run_until_received(3);
            give(m_exchanges[1]);
            run_for(milliseconds{5});
            answer(2, "the last");
            answer(0, "first");
        } else {
            run_until_received(1);
            answer(0, "first");
            run_until_received(2);
            give(m_exchanges[1]);
            run_until_received(3);
            answer(2, "the last");
        }
        run_until_text(caller, "the last");
        return caller.bytes();
    }
};

} // namespace

// Guards against a held answer that differs from one that is not held.
TEST_F(http_server_held_answers, have_the_framing_of_others) {
    const std::vector<io::header> fields{{"X-A", "b"}, {"Set-Cookie", "c"}};
    const std::string head = "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::vector<std::function<void(exchange_id)>> answers{
        [&](exchange_id key) { m_server.answer(key, 200, fields, "whole"); },
        [&](exchange_id key) { m_server.answer(key, 503, fields, ""); },
        [&](exchange_id key) {
            m_server.start(key, 200, fields, 5);
            m_server.send(key, "sized", true);
        },
        [&](exchange_id key) {
            m_server.start(key, 404, fields, std::nullopt);
            m_server.send(key, "chunked", true);
        },
        [&](exchange_id key) {
            m_server.start(key, 204, fields, 0);
            m_server.send(key, "", true);
        },
        [&](exchange_id key) {
            m_server.start(key, 304, fields, std::nullopt);
            m_server.send(key, "", true);
        }};
    const auto without_date = [](std::string from) {
        for (auto at = from.find("\r\nDate: "); at != std::string::npos;
             at = from.find("\r\nDate: "))
            from.erase(at, from.find("\r\n", at + 2) - at);
        return from;
    };
    for (std::size_t i = 0; i < answers.size(); ++i) {
        const auto give = answers[i];
        EXPECT_EQ(without_date(bytes_of(get("/"), true, give)),
                  without_date(bytes_of(get("/"), false, give)))
            << i;
    }
    const auto give = answers.front();
    const std::string held = bytes_of(head, true, give);
    EXPECT_EQ(without_date(held), without_date(bytes_of(head, false, give)));
    EXPECT_EQ(held.find("whole"), std::string::npos);
}

TEST_F(http_server_held_answers, are_bounded_and_go_on_at_their_turn) {
    constexpr std::size_t limit = 64 * 1024;
    constexpr std::size_t pieces = 64;
    io::server_limits limits{body_limit, seconds{60}};
    limits.m_held_bytes = limit;
    m_server.set_limits(limits);
    for (const bool sized : {true, false}) {
        m_exchanges.clear();
        m_pieces_sent = 0;
        raw_caller caller{m_where};
        caller.write(get("/") + get("/1") + get("/2"));
        run_until_received(3);
        begin_stream(m_exchanges[1], pieces, sized);
        begin_stream(m_exchanges[2], pieces, sized);
        run_for(several_looks);
        // Each of the two may exceed the limit by one piece.
        EXPECT_LE(m_pieces_sent * piece_size, limit + 2 * piece_size);
        EXPECT_GE(m_pieces_sent * piece_size, limit);
        answer(0, "first");
        std::string received;
        run_until([&] {
            caller.read();
            return m_closed % 3 == 0 &&
                   caller.bytes().size() > 2 * pieces * piece_size;
        });
        const std::string body = stream_body(pieces);
        if (sized) {
            const auto first = caller.bytes().find("\r\n\r\n" + body);
            ASSERT_NE(first, std::string::npos);
            EXPECT_NE(caller.bytes().find("\r\n\r\n" + body, first + 1),
                      std::string::npos);
        } else {
            EXPECT_EQ(count(caller.bytes(), "\r\n0\r\n\r\n"), 2U);
            for (char one = 'a'; one <= 'z'; ++one)
                EXPECT_GE(
                    static_cast<std::size_t>(std::count(
                        caller.bytes().begin(), caller.bytes().end(), one)),
                    2 * static_cast<std::size_t>(
                            std::count(body.begin(), body.end(), one)));
        }
        EXPECT_EQ(m_server.active(), 0U);
    }
}

// Guards against pieces that are lost or change their order while what was held
// is still being written to a slow caller.
TEST_F(http_server_held_answers, lose_nothing_while_they_are_written) {
    constexpr int small_buffer = 4096;
    constexpr std::size_t pieces = 200;
    raw_caller caller{m_where, small_buffer};
    caller.write(get("/") + get("/1"));
    run_until_received(2);
    begin_stream(m_exchanges[1], pieces, true);
    m_loop.run_once(milliseconds{0});
    answer(0, "first");
    run_until([&] {
        caller.read();
        return m_closed == 2;
    });
    run_until([&] {
        caller.read();
        return caller.bytes().size() > pieces * piece_size;
    });
    EXPECT_TRUE(caller.bytes().ends_with("\r\n\r\n" + stream_body(pieces)));
}

TEST_F(http_server_held_answers, that_are_broken_off_end_the_connection) {
    raw_caller caller{m_where};
    caller.write(get("/") + get("/1") + get("/2") + get("/3"));
    run_until_received(4);
    answer(3, "unwritten");
    m_server.start(m_exchanges[1], 200, {}, 100);
    m_server.send(m_exchanges[1], "part", false);
    run_for(milliseconds{5});
    m_server.abort(m_exchanges[1]);
    run_until([this] { return m_closed == 2; });
    EXPECT_FALSE(m_ends.at(m_exchanges[2]));
    EXPECT_FALSE(m_ends.at(m_exchanges[3]));
    EXPECT_TRUE(m_server.caller_disconnected(m_exchanges[2]));
    answer(0, "first");
    run_until_closed(caller);
    run_until([this] { return m_closed == 4; });
    EXPECT_TRUE(m_ends.at(m_exchanges[0]));
    EXPECT_FALSE(m_ends.at(m_exchanges[1]));
    EXPECT_NE(caller.bytes().find("first"), std::string::npos);
    EXPECT_EQ(caller.bytes().find("unwritten"), std::string::npos);
    EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 "), 1U);
    EXPECT_EQ(m_exchanges.size(), 4U);
    EXPECT_EQ(m_server.active(), 0U);
}

TEST_F(http_server_held_answers, behind_a_broken_one_are_never_written) {
    raw_caller caller{m_where};
    caller.write(get("/") + get("/1") + get("/2"));
    run_until_received(3);
    answer(1, "unwritten");
    m_server.start(m_exchanges[0], 200, {}, 100);
    m_server.send(m_exchanges[0], "part", false);
    run_until_text(caller, "part");
    m_server.abort(m_exchanges[0]);
    run_until_closed(caller);
    run_until([this] { return m_closed == 3; });
    for (const auto& [key, complete] : m_ends)
        EXPECT_FALSE(complete);
    EXPECT_EQ(caller.bytes().find("unwritten"), std::string::npos);
    EXPECT_EQ(m_exchanges.size(), 3U);
}

TEST_F(http_server_held_answers, nothing_begins_behind_a_close_of_the_caller) {
    raw_caller caller{m_where};
    caller.write(get("/", "Connection: close\r\n") + get("/1"));
    run_for(several_looks);
    EXPECT_EQ(m_exchanges.size(), 1U);
    answer(0, "first");
    run_until_closed(caller);
    EXPECT_EQ(m_exchanges.size(), 1U);
    EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 "), 1U);
}

TEST_F(http_server_held_answers, end_when_the_caller_leaves) {
    {
        raw_caller caller{m_where};
        caller.write(get("/") + get("/1") + get("/2"));
        run_until_received(3);
        answer(2, "held");
        caller.reset_at_end();
    }
    run_for(several_looks);
    EXPECT_TRUE(m_server.caller_disconnected(m_exchanges[1]));
    EXPECT_TRUE(m_server.caller_unreachable(m_exchanges[2]));
    // As the owner does for a caller that has left.
    answer(0, "");
    answer(1, "");
    run_until([this] { return m_closed == 3; });
    EXPECT_EQ(m_exchanges.size(), 3U);
    EXPECT_EQ(m_server.active(), 0U);
    run_until([this] { return m_server.connections() == 0; });
}

TEST_F(http_server_held_answers, are_all_written_in_a_shutdown) {
    raw_caller caller{m_where};
    caller.write(get("/") + get("/1") + get("/2") +
                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" +
                 get("/4"));
    run_until_received(3);
    answer(2, "third");
    m_server.begin_shutdown();
    run_for(several_looks);
    EXPECT_FALSE(m_server.drained());
    EXPECT_EQ(m_exchanges.size(), 3U);
    answer(1, "second");
    answer(0, "first");
    run_until_received(4);
    answer(3, "fourth");
    run_until_received(5);
    answer(4, "fifth");
    run_until_closed(caller);
    EXPECT_EQ(caller.error(), 0);
    EXPECT_EQ(count(caller.bytes(), "HTTP/1.1 200 "), 5U);
    EXPECT_EQ(count(caller.bytes(), "Connection: close\r\n"), 1U);
    EXPECT_TRUE(caller.bytes().ends_with("fifth"));
    run_until([this] { return m_server.drained(); });
}

TEST_F(http_server_held_answers, close_the_connection_in_a_shutdown_if_last) {
    raw_caller caller{m_where};
    caller.write(get("/") + get("/1"));
    run_until_received(2);
    m_server.begin_shutdown();
    answer(1, "last");
    answer(0, "first");
    run_until_closed(caller);
    EXPECT_EQ(count(caller.bytes(), "Connection: close\r\n"), 1U);
    EXPECT_TRUE(caller.bytes().ends_with("last"));
    run_until([this] { return m_server.drained(); });
}

// A caller that has sent part of a request is answered in its turn.
TEST_F(http_server_held_answers, a_partial_head_behind_waits_for_its_rest) {
    raw_caller caller{m_where};
    const std::string last = get("/2");
    caller.write(get("/") + get("/1") + last.substr(0, 9));
    run_until_received(2);
    run_for(several_looks);
    EXPECT_EQ(m_exchanges.size(), 2U);
    answer(1, "second");
    answer(0, "first");
    run_until_text(caller, "second");
    caller.write(last.substr(9));
    run_until_received(3);
    answer(2, "third");
    run_until_text(caller, "third");
}
