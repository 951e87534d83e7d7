// Responses that belong to another request: the client discards them and
// reports the next one, whole and alone.
#include "io/http_client.hpp"

#include "test/io/client_fixture.hpp"

using namespace skylark;
using skylark::test::client_test;
using skylark::test::request_bytes;

namespace {

const std::string filler(8000, 'x');
const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

class skipping_client : public client_test {
protected:
    // Skips each response that has the field "Other".
    void begin_skipping(bool head_only = false) {
        open();
        m_client.rebind(m_connection, [this](connection_id key,
                                             const io::client_event& what) {
            const auto* head = std::get_if<io::head_received>(&what);
            if (head &&
                !io::find_header(head->m_head.m_headers, "Other").empty()) {
                ++m_heads_skipped;
                m_skips += m_client.skip_response(key) ? 1 : 0;
                return;
            }
            record(what);
        });
        m_client.send(m_connection, request_bytes, head_only);
        m_server.read_request();
    }

    void turn() {
        for (int i = 0; i < 3; ++i)
            m_loop.run_once(milliseconds{1});
    }

    void expect_own_answer() {
        const auto log = ended();
        EXPECT_TRUE(log.m_complete);
        EXPECT_EQ(log.m_status, 200);
        EXPECT_EQ(log.m_body, "hello");
        EXPECT_FALSE(log.m_reusable);
        EXPECT_FALSE(m_client.usable(m_connection));
    }

    int m_heads_skipped{};
    int m_skips{};
};

struct other_response {
    std::string m_name;
    std::string m_bytes;
};

class skipped_responses : public skipping_client,
                          public testing::WithParamInterface<other_response> {};

const std::string other = "HTTP/1.1 200 OK\r\nOther: 1\r\n";
const std::string chunked_other =
    other + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nofa\r\n"
            "7\r\nnother1\r\n0\r\nTrailer: 1\r\n\r\n";

} // namespace

TEST_P(skipped_responses, in_one_piece_with_the_next) {
    begin_skipping();
    m_server.write(GetParam().m_bytes + own);
    expect_own_answer();
    EXPECT_EQ(m_skips, 1);
}

TEST_P(skipped_responses, byte_by_byte) {
    begin_skipping();
    for (const char byte : GetParam().m_bytes + own) {
        m_server.write(std::string(1, byte));
        turn();
    }
    expect_own_answer();
    EXPECT_EQ(m_skips, 1);
}

TEST_P(skipped_responses, that_are_cut_leave_the_request_unanswered) {
    const std::string& bytes = GetParam().m_bytes;
    begin_skipping();
    m_server.write(bytes.substr(0, bytes.size() - 1));
    turn();
    m_server.end();
    const auto log = ended();
    EXPECT_TRUE(log.m_failed);
    EXPECT_TRUE(log.m_bytes_sent);
    EXPECT_FALSE(log.m_head_received);
    EXPECT_EQ(log.m_body, "");
}

TEST_P(skipped_responses, without_a_next_one_leave_the_request_unanswered) {
    begin_skipping();
    m_server.write(GetParam().m_bytes);
    turn();
    m_server.end();
    const auto log = ended();
    EXPECT_TRUE(log.m_failed);
    EXPECT_TRUE(log.m_bytes_sent);
    EXPECT_FALSE(log.m_head_received);
}

INSTANTIATE_TEST_SUITE_P(
    http_client, skipped_responses,
    testing::Values(
        other_response{"sized", other + "Content-Length: 4\r\n\r\nnone"},
        other_response{"bodyless", other + "Content-Length: 0\r\n\r\n"},
        other_response{"no_content",
                       "HTTP/1.1 204 No Content\r\nOther: 1\r\n\r\n"},
        other_response{"says_close", other + "Connection: close\r\n"
                                             "Content-Length: 4\r\n\r\nnone"},
        other_response{"interim", "HTTP/1.1 100 Continue\r\n\r\n" + other +
                                      "Content-Length: 4\r\n\r\nnone"},
        other_response{"chunked", chunked_other}),
    [](const auto& tested) { return tested.param.m_name; });

TEST_F(skipping_client, skips_several) {
    begin_skipping();
    m_server.write(chunked_other + other + "Content-Length: 4\r\n\r\nnone" +
                   chunked_other + own);
    expect_own_answer();
    EXPECT_EQ(m_skips, 3);
}

TEST_F(skipping_client, skips_more_than_one_turn_takes) {
    begin_skipping();
    const std::string body(20 * io::http_client::limits{}.m_turn_bytes, 'x');
    const std::string bytes = other +
                              "Content-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n" + body + own;
    for (std::size_t at = 0; at < bytes.size(); at += filler.size()) {
        m_server.write(bytes.substr(at, filler.size()));
        turn();
    }
    expect_own_answer();
}

TEST_F(skipping_client, keeps_little_of_a_response_without_an_end) {
    begin_skipping();
    m_server.write(other + "Transfer-Encoding: chunked\r\n\r\n");
    std::size_t kept = 0;
    for (int i = 0; i < 500; ++i) {
        m_server.write("1f40\r\n" + filler + "\r\n");
        turn();
        kept = std::max(kept, m_client.unreported(m_connection));
    }
    EXPECT_LE(kept, 2 * io::http_client::limits{}.m_turn_bytes);
    EXPECT_FALSE(m_log.m_failed);
    EXPECT_EQ(m_log.m_body, "");
}

TEST_F(skipping_client, endless_responses_fail_after_bounded_bytes) {
    constexpr std::size_t limit = io::http_client::limits{}.m_head_bytes;
    begin_skipping();
    const std::string whole =
        other + "Filler: " + filler + "\r\nContent-Length: 0\r\n\r\n";
    std::size_t written = 0;
    while (!m_log.m_failed && written < 4 * limit) {
        m_server.write(whole);
        written += whole.size();
        turn();
    }
    EXPECT_TRUE(m_log.m_failed);
    EXPECT_FALSE(m_log.m_head_received);
    EXPECT_LE(written, 2 * limit);
}

// Reading on until the deadline would cost a processor for as long.
TEST_F(skipping_client, bodies_without_an_end_fail_after_bounded_bytes) {
    constexpr std::size_t most = std::size_t{8} << 20U;
    begin_skipping();
    m_server.write(other + "Transfer-Encoding: chunked\r\n\r\n");
    std::size_t written = 0;
    while (!m_log.m_failed && written < 2 * most) {
        m_server.write("1f40\r\n" + filler + "\r\n");
        written += filler.size();
        turn();
    }
    EXPECT_TRUE(m_log.m_failed);
    EXPECT_TRUE(m_log.m_bytes_sent);
    EXPECT_FALSE(m_log.m_head_received);
    EXPECT_LE(written, most);
}

// What is skipped must not widen the bounds of the response itself.
TEST_F(skipping_client, framing_after_a_skipped_body_is_bounded) {
    constexpr std::size_t limit = io::http_client::limits{}.m_head_bytes;
    begin_skipping();
    m_server.write(other + "Content-Length: " + std::to_string(filler.size()) +
                   "\r\n\r\n" + filler +
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;e=");
    std::size_t written = 0;
    while (!m_log.m_failed && written < 4 * limit) {
        m_server.write(filler);
        written += filler.size();
        turn();
    }
    EXPECT_TRUE(m_log.m_failed);
    EXPECT_LE(written, limit + 2 * filler.size());
}

TEST_F(skipping_client, does_not_skip_what_ends_with_the_connection) {
    begin_skipping();
    m_server.write(other + "\r\nof another" + own);
    turn();
    EXPECT_EQ(m_heads_skipped, 1);
    EXPECT_EQ(m_skips, 0);
}

// Its head may announce a body that does not come.
TEST_F(skipping_client, does_not_skip_where_head_was_sent) {
    begin_skipping(true);
    m_server.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    ASSERT_TRUE(ended().m_reusable);
    m_log = {};
    m_client.send(m_connection, request_bytes, false);
    m_server.read_request();
    m_server.write(other + "Content-Length: 4\r\n\r\n");
    turn();
    EXPECT_EQ(m_heads_skipped, 1);
    EXPECT_EQ(m_skips, 0);
}
