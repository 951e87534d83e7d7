// Server exchanges: complete, aborted, and with callers that stop reading or
// disconnect. The project's own HTTP client is the caller.
#include "io/http_server.hpp"

#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "core/overloaded.hpp"
#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "test/io/raw_caller.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class server_test : public testing::Test {
protected:
    server_test() {
        m_server.set_handlers(
            {[this](exchange_id key, const io::request_view& request) {
                 m_method = request.m_method;
                 m_path = request.m_path;
                 m_body = request.m_body;
                 m_exchange = key;
             },
             [this](exchange_id) { ++m_ready; },
             [this](exchange_id, bool complete) {
                 ++m_closed;
                 m_complete = complete;
             }});
        m_where = m_server.listen({0x7f000001U, 0}).value();
    }

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 5000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    void request(io::fetch_request what) {
        what.m_to = m_where;
        m_connection =
            m_client.open(m_where, [this, what](connection_id key,
                                                const io::client_event& e) {
                std::visit(
                    overloaded{
                        [&](const io::connected&) {
                            m_client.send(key, io::format_request(what),
                                          what.m_method == "HEAD");
                        },
                        [&](const io::head_received& event) {
                            m_status = event.m_head.m_status;
                            if (m_stop_reading)
                                m_client.pause(key);
                        },
                        [&](const io::body_received& event) {
                            m_received += event.m_piece.size();
                        },
                        [&](const io::response_complete& event) {
                            m_whole = true;
                            m_reusable = event.m_reusable;
                        },
                        [&](const io::connection_failed&) { m_failed = true; }},
                    e);
            });
        run_until([this] { return bool{m_exchange} || m_status != 0; });
    }

    io::event_loop m_loop;
    io::http_server m_server{m_loop, {1024, seconds{60}}};
    io::http_client m_client{m_loop, {}};
    address m_where;
    connection_id m_connection;
    exchange_id m_exchange;
    std::string m_method;
    std::string m_path;
    std::string m_body;
    int m_status{};
    std::size_t m_received{};
    int m_ready{};
    int m_closed{};
    bool m_complete{};
    bool m_whole{};
    bool m_reusable{};
    bool m_failed{};
    bool m_stop_reading{};
};

constexpr std::size_t large = std::size_t{8}
                              << 20U; // exceeds all socket buffers

} // namespace

TEST_F(server_test, whole_exchange) {
    request({{}, "POST", "/x?y=1", {}, "body", {}});
    EXPECT_EQ(m_method, "POST");
    EXPECT_EQ(m_path, "/x?y=1");
    EXPECT_EQ(m_body, "body");
    m_server.answer(m_exchange, 200, {}, "hello");
    run_until([this] { return m_whole && m_closed == 1; });
    EXPECT_EQ(m_received, 5U);
    EXPECT_TRUE(m_complete);
    EXPECT_TRUE(m_reusable);
}

TEST_F(server_test, head_has_no_body) {
    request({{}, "HEAD", "/", {}, "", {}});
    m_server.answer(m_exchange, 200, {}, "hello");
    run_until([this] { return m_whole; });
    EXPECT_EQ(m_received, 0U);
    EXPECT_EQ(m_status, 200);
}

TEST_F(server_test, a_broken_answer_is_seen_broken) {
    for (const bool chunked : {false, true}) {
        m_failed = false;
        m_exchange = {};
        m_status = 0;
        m_ready = 0;
        request({});
        const auto length =
            chunked ? std::optional<std::uint64_t>{} : std::uint64_t{10};
        m_server.start(m_exchange, 200, {}, length);
        m_server.send(m_exchange, "hello", false);
        run_until([this] { return m_ready > 0; });
        m_server.abort(m_exchange);
        run_until([this] { return m_failed; });
        EXPECT_FALSE(m_whole);
    }
}

TEST_F(server_test, breaking_off_while_a_piece_is_moving) {
    m_stop_reading = true;
    request({});
    m_server.start(m_exchange, 200, {}, large);
    m_server.send(m_exchange, std::string(large, 'x'), false);
    for (int i = 0; i < 20; ++i)
        m_loop.run_once(milliseconds{1});
    EXPECT_EQ(m_ready, 0) << "the caller does not read";
    m_server.send(m_exchange, "too early", true);  // ignored
    m_server.answer(m_exchange, 503, {}, "again"); // ignored
    m_server.abort(m_exchange);
    run_until([this] { return m_closed == 1; });
    EXPECT_FALSE(m_complete);
    m_client.resume(m_connection);
    run_until([this] { return m_failed; });
    EXPECT_FALSE(m_whole);
}

TEST_F(server_test, a_caller_that_left_is_noticed_while_the_answer_waits) {
    request({});
    EXPECT_FALSE(m_server.caller_disconnected(m_exchange));
    m_client.close(m_connection);
    run_until([this] { return m_server.caller_disconnected(m_exchange); });
}

TEST_F(server_test, refuses_a_body_beyond_the_limit) {
    request({{}, "POST", "/", {}, std::string(2000, 'x'), {}});
    EXPECT_EQ(m_status, 413);
    EXPECT_FALSE(m_exchange);
}

TEST_F(server_test, refuses_headers_beyond_the_limit) {
    const std::string line(200'000, 'x');
    io::fetch_request what;
    what.m_headers = {{"X-Long", line}};
    what.m_to = m_where;
    m_client.open(m_where, [&](connection_id key, const io::client_event& e) {
        if (std::holds_alternative<io::connected>(e))
            m_client.send(key, io::format_request(what), false);
        if (std::holds_alternative<io::connection_failed>(e))
            m_failed = true;
        if (const auto* head = std::get_if<io::head_received>(&e))
            m_status = head->m_head.m_status;
    });
    run_until([this] { return m_failed || m_status != 0; });
    EXPECT_TRUE(m_failed || m_status == 431);
    EXPECT_FALSE(m_exchange);
}

TEST_F(server_test, ends_a_head_that_never_ends) {
    m_client.open(m_where, [&](connection_id key, const io::client_event& e) {
        if (std::holds_alternative<io::connected>(e))
            m_client.send(
                key, "GET / HTTP/1.1\r\nX-Long: " + std::string(200'000, 'x'),
                false);
        if (std::holds_alternative<io::connection_failed>(e))
            m_failed = true;
    });
    run_until([this] { return m_failed; });
    EXPECT_FALSE(m_exchange);
}

TEST_F(server_test, refuses_malformed_requests) {
    request({{}, "BAD METHOD", "/", {}, "", {}});
    EXPECT_EQ(m_status, 400);
    EXPECT_FALSE(m_exchange);
}

TEST_F(server_test, closing_ends_connections_after_their_answer) {
    m_server.close_after_answer();
    request({});
    m_server.answer(m_exchange, 200, {}, "bye");
    run_until([this] { return m_whole; });
    EXPECT_FALSE(m_reusable);
}

// After an abort the server must write nothing more: the caller would read it
// as part of the upstream's response.
TEST_F(server_test, a_broken_chunked_answer_ends_with_what_was_sent) {
    raw_caller caller{m_where};
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    run_until([this] { return bool{m_exchange}; });
    m_server.start(m_exchange, 200, {}, std::nullopt);
    m_server.send(m_exchange, "abc", false);
    run_until([this] { return m_ready > 0; });
    m_server.abort(m_exchange);
    run_until([&] { return !caller.read(); });
    const auto body = caller.bytes().find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    EXPECT_EQ(caller.bytes().substr(body + 4), "3\r\nabc\r\n");
    run_until([this] { return m_closed == 1; });
    EXPECT_FALSE(m_complete);
}

TEST_F(server_test, a_cut_answer_other_than_200_does_not_look_complete) {
    for (const int status : {201, 404, 500, 504}) {
        for (const bool cut : {false, true}) {
            m_exchange = {};
            m_ready = m_closed = 0;
            raw_caller caller{m_where};
            caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
            run_until([this] { return bool{m_exchange}; });
            m_server.start(m_exchange, status, {}, std::nullopt);
            m_server.send(m_exchange, "abc", false);
            run_until([this] { return m_ready > 0; });
            if (cut)
                m_server.abort(m_exchange);
            else
                m_server.send(m_exchange, "de", true);
            run_until([this] { return m_closed == 1; });
            EXPECT_EQ(m_complete, !cut);
            const std::string body =
                cut ? "3\r\nabc\r\n" : "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
            run_until([&] {
                return !caller.read() || caller.bytes().ends_with(body);
            });
            const std::string& all = caller.bytes();
            EXPECT_TRUE(all.starts_with("HTTP/1.1 " + std::to_string(status)));
            EXPECT_NE(all.find("transfer-encoding: chunked"), std::string::npos)
                << all;
            EXPECT_EQ(all.substr(all.find("\r\n\r\n") + 4), body);
        }
    }
}

TEST_F(server_test, an_answer_that_has_no_body_is_not_chunked) {
    const auto seen = [this](const std::string& method, int status) {
        m_exchange = {};
        m_closed = 0;
        raw_caller caller{m_where};
        caller.write(method + " / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until([this] { return bool{m_exchange}; });
        m_server.start(m_exchange, status, {}, std::nullopt);
        m_server.send(m_exchange, "", true);
        run_until([this] { return m_closed == 1; });
        run_until([&] {
            return !caller.read() || caller.bytes().ends_with("\r\n\r\n");
        });
        return caller.bytes();
    };
    for (const auto& all :
         {seen("GET", 204), seen("GET", 304), seen("HEAD", 404)}) {
        EXPECT_EQ(all.find("transfer-encoding"), std::string::npos) << all;
        EXPECT_TRUE(all.ends_with("\r\n\r\n")) << all;
    }
}
