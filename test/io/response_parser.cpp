// Framing of response bodies, RFC 9112, section 6.
#include "io/response_parser.hpp"

#include <ctime>
#include <string>

#include <gtest/gtest.h>

using namespace skylark;
using io::parse_state;

namespace {

struct parsed_head {
    parse_state m_state{};
    io::response_head m_head;
    io::response_parser m_parser;

    // Reads a body of a single piece.
    std::string body(std::string input, parse_state& state) {
        std::size_t size = 0;
        std::size_t rest = 0;
        state = m_parser.read_body({input.data(), input.size()}, size, rest);
        return input.substr(0, size);
    }
};

parsed_head read(const std::string& fields, const std::string& status = "200",
                 bool head_only = false, const std::string& version = "1.1") {
    parsed_head out;
    std::size_t consumed = 0;
    const std::string text =
        "HTTP/" + version + ' ' + status + " X\r\n" + fields + "\r\n";
    out.m_state = out.m_parser.read_head(text, head_only, out.m_head, consumed);
    out.m_head.m_headers = {}; // views into text
    return out;
}

class uncertain_framing : public testing::TestWithParam<const char*> {};
class absent_body : public testing::TestWithParam<const char*> {};
class closing_connection : public testing::TestWithParam<const char*> {};

constexpr const char* both =
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n";

} // namespace

TEST_P(uncertain_framing, is_malformed) {
    EXPECT_EQ(read(GetParam()).m_state, parse_state::malformed);
}

INSTANTIATE_TEST_SUITE_P(
    response_parser, uncertain_framing,
    testing::Values(
        "Content-Length: abc\r\n", "Content-Length: -1\r\n",
        "Content-Length: +5\r\n", "Content-Length: 2,5\r\n",
        "Content-Length: 5;\r\n", "Content-Length: 5 5\r\n",
        "Content-Length: 0x5\r\n", "Content-Length: 5.0\r\n",
        "Content-Length:\r\n", "Content-Length: ,\r\n",
        "Content-Length: 18446744073709551616\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Content-Length: 5\r\nContent-Length: 2\r\n",
        "Content-Length: 5\r\nContent-Length: abc\r\n",
        "Content-Length: 5\r\nX: y\r\ncontent-length:\r\n",
        "Content-Length: 5\r\n 0\r\n", "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked;q=1\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", both,
        "Transfer-Encoding: chunked\r\nContent-Length: abc\r\n"));

TEST(response_parser, equal_lengths_count_as_one) {
    for (const char* fields :
         {"Content-Length: 5\r\n", "content-length:5\r\n",
          "Content-Length: 5\r\nContent-Length: 5\r\n",
          "Content-Length: 5, 5\r\n", "Content-Length: 5\t\r\n"}) {
        auto found = read(fields);
        ASSERT_EQ(found.m_state, parse_state::found) << fields;
        EXPECT_EQ(found.m_head.m_length, 5U) << fields;
        EXPECT_TRUE(found.m_parser.keeps_alive());
        EXPECT_TRUE(found.m_parser.expects_body());
        parse_state state{};
        EXPECT_EQ(found.body("hello world", state), "hello");
        EXPECT_EQ(state, parse_state::found);
    }
}

TEST(response_parser, a_length_of_zero_expects_no_body) {
    const auto found = read("Content-Length: 0\r\n");
    ASSERT_EQ(found.m_state, parse_state::found);
    EXPECT_EQ(found.m_head.m_length, 0U);
    EXPECT_FALSE(found.m_parser.expects_body());
}

TEST(response_parser, the_largest_length_is_no_overflow) {
    const auto found = read("Content-Length: 18446744073709551615\r\n");
    EXPECT_EQ(found.m_state, parse_state::found);
    EXPECT_EQ(found.m_head.m_length, UINT64_MAX);
}

TEST(response_parser, without_length_or_chunks_a_body_ends_with_the_close) {
    const auto found = read("X: y\r\n");
    ASSERT_EQ(found.m_state, parse_state::found);
    EXPECT_TRUE(found.m_parser.ends_with_connection());
    EXPECT_FALSE(found.m_parser.keeps_alive());
    EXPECT_FALSE(found.m_head.m_framed);
}

TEST(response_parser, chunks_need_version_1_1) {
    const std::string chunked = "Transfer-Encoding: Chunked\r\n";
    EXPECT_EQ(read(chunked).m_state, parse_state::found);
    EXPECT_EQ(read(chunked, "200", false, "1.0").m_state,
              parse_state::malformed);
}

TEST_P(absent_body, of_204_304_and_interim_responses) {
    for (const char* status : {"204", "304", "100", "103"}) {
        const auto found = read(GetParam(), status);
        ASSERT_EQ(found.m_state, parse_state::found) << status;
        EXPECT_FALSE(found.m_parser.expects_body()) << status;
        EXPECT_TRUE(found.m_head.m_framed) << status;
    }
}

TEST_P(absent_body, of_a_response_to_head) {
    const auto found = read(GetParam(), "200", true);
    ASSERT_EQ(found.m_state, parse_state::found);
    EXPECT_FALSE(found.m_parser.expects_body());
    EXPECT_TRUE(found.m_head.m_framed);
}

INSTANTIATE_TEST_SUITE_P(response_parser, absent_body,
                         testing::Values("", "Content-Length: 5\r\n",
                                         "Content-Length: abc\r\n",
                                         "Transfer-Encoding: chunked\r\n",
                                         both));

TEST(response_parser, a_response_to_head_tells_a_valid_length_only) {
    EXPECT_EQ(read("Content-Length: 5\r\n", "200", true).m_head.m_length, 5U);
    EXPECT_FALSE(read("Content-Length: abc\r\n", "200", true).m_head.m_length);
    EXPECT_FALSE(read(both, "200", true).m_head.m_length);
}

// The client never offers an upgrade. RFC 9110, section 15, has 100 to 599 as
// the valid statuses.
TEST(response_parser, statuses_that_answer_no_request_are_malformed) {
    for (const char* status : {"101", "000", "099", "600", "999", "20", "2000",
                               "0200", "-20", "+20", "2x0", "2 0", "", " 200"})
        EXPECT_EQ(read("", status).m_state, parse_state::malformed) << status;
}

TEST(response_parser, lines_of_another_protocol_are_malformed) {
    for (const char* line :
         {"ICY 200 OK", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "HTTP 200 OK",
          "http/1.1 200 OK", "HTTP/1.1  200 OK", "200 OK"}) {
        io::response_parser parser;
        io::response_head head;
        std::size_t consumed = 0;
        const std::string text =
            std::string{line} + "\r\nContent-Length: 0\r\n\r\n";
        EXPECT_EQ(parser.read_head(text, false, head, consumed),
                  parse_state::malformed)
            << line;
    }
}

TEST(response_parser, the_first_and_last_final_statuses_are_valid) {
    for (const char* status : {"200", "599"})
        EXPECT_EQ(read("Content-Length: 0\r\n", status).m_state,
                  parse_state::found)
            << status;
}

TEST_P(closing_connection, is_not_kept) {
    const auto found = read(std::string{"Content-Length: 5\r\n"} + GetParam());
    ASSERT_EQ(found.m_state, parse_state::found);
    EXPECT_FALSE(found.m_parser.keeps_alive());
}

INSTANTIATE_TEST_SUITE_P(
    response_parser, closing_connection,
    testing::Values("Connection: close\r\n", "Connection: close, x\r\n",
                    "Connection: x ,\tClose\r\n",
                    "Connection: x\r\nConnection: close\r\n",
                    "Connection:\r\nConnection: close\r\n"));

TEST(response_parser, decodes_chunks_of_any_cut) {
    const std::string input = "5;a=b\r\nhello\r\n1 \r\n,\r\nA\n0123456789"
                              "\r\n000\r\nX: y\r\n\r\nrest";
    for (std::size_t step = 1; step <= input.size(); ++step) {
        auto found = read("Transfer-Encoding: chunked\r\n");
        std::string body;
        auto state = parse_state::more;
        std::size_t rest = 0;
        for (std::size_t at = 0;
             at < input.size() && state == parse_state::more; at += step) {
            std::string piece = input.substr(at, step);
            std::size_t size = 0;
            state = found.m_parser.read_body({piece.data(), piece.size()}, size,
                                             rest);
            body += piece.substr(0, size);
        }
        EXPECT_EQ(state, parse_state::found) << step;
        EXPECT_EQ(body, "hello,0123456789") << step;
        EXPECT_LE(rest, 4U) << step;
    }
}

class uncertain_chunks : public testing::TestWithParam<const char*> {};

TEST_P(uncertain_chunks, are_malformed) {
    auto found = read("Transfer-Encoding: chunked\r\n");
    ASSERT_EQ(found.m_state, parse_state::found);
    parse_state state{};
    found.body(GetParam(), state);
    EXPECT_EQ(state, parse_state::malformed);
}

INSTANTIATE_TEST_SUITE_P(
    response_parser, uncertain_chunks,
    testing::Values("5x\r\nhello\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
                    "0,5\r\nhello\r\n0\r\n\r\n", "0 5\r\nhello\r\n0\r\n\r\n",
                    "-5\r\nhello\r\n0\r\n\r\n", "\r\nhello\r\n0\r\n\r\n",
                    "10000000000000005\r\nhello\r\n", "5\r\nhello0\r\n\r\n"));

// Each piece had the whole head parsed again, which took 0.7 s for this one.
TEST(response_parser, a_head_in_pieces_of_one_byte_takes_linear_time) {
    constexpr std::size_t size = 64000;
    const std::string text =
        "HTTP/1.1 200 OK\r\nX: " + std::string(size, 'x') + "\r\n\r\n";
    io::response_parser parser;
    io::response_head head;
    std::size_t consumed = 0;
    const std::clock_t began = std::clock();
    for (std::size_t i = 1; i < text.size(); ++i)
        ASSERT_EQ(parser.read_head({text.data(), i}, false, head, consumed),
                  parse_state::more);
    EXPECT_EQ(parser.read_head(text, false, head, consumed),
              parse_state::found);
    EXPECT_EQ(consumed, text.size());
    EXPECT_LT(std::clock() - began, CLOCKS_PER_SEC / 4);
}
