// A response cut at any byte of its head is no response, whichever way the
// connection ends.
#include "io/http_client.hpp"

#include "test/io/client_fixture.hpp"

using namespace skylark;
using skylark::test::client_test;

namespace {

struct whole_head {
    const char* m_name;
    std::string m_text;
};

class cut_heads : public client_test,
                  public testing::WithParamInterface<whole_head> {
protected:
    void expect_failure(std::size_t cut) {
        const auto log = ended();
        EXPECT_TRUE(log.m_failed) << "cut after byte " << cut;
        EXPECT_FALSE(log.m_complete) << "cut after byte " << cut;
        EXPECT_FALSE(log.m_head_received) << "cut after byte " << cut;
        EXPECT_TRUE(log.m_bytes_sent) << "cut after byte " << cut;
        EXPECT_EQ(log.m_status, 0) << "cut after byte " << cut;
    }
};

class uncertain_answers : public client_test,
                          public testing::WithParamInterface<const char*> {};

} // namespace

TEST_P(cut_heads, closed) {
    const std::string& head = GetParam().m_text;
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        begin(head.substr(0, cut));
        m_server.end();
        expect_failure(cut);
    }
}

TEST_P(cut_heads, reset) {
    const std::string& head = GetParam().m_text;
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        begin(head.substr(0, cut));
        m_server.reset();
        expect_failure(cut);
    }
}

INSTANTIATE_TEST_SUITE_P(
    http_client, cut_heads,
    testing::Values(
        whole_head{"length", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
                             "Connection: keep-alive\r\n\r\n"},
        whole_head{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
        whole_head{"chunked",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
        whole_head{"neither", "HTTP/1.1 200 OK\r\nX: y\r\n\r\n"},
        whole_head{"no_content", "HTTP/1.1 204 No Content\r\n\r\n"},
        whole_head{"after_interim",
                   "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"}),
    [](const auto& tested) { return std::string{tested.param.m_name}; });

TEST_P(uncertain_answers, fail_without_a_head) {
    begin("HTTP/1.1 200 OK\r\n" + std::string{GetParam()} + "\r\nhello");
    m_server.end();
    const auto log = ended();
    EXPECT_TRUE(log.m_failed);
    EXPECT_FALSE(log.m_complete);
    EXPECT_FALSE(log.m_head_received);
    EXPECT_EQ(log.m_body, "");
}

INSTANTIATE_TEST_SUITE_P(
    http_client, uncertain_answers,
    testing::Values("Content-Length: abc\r\n", "Content-Length: -1\r\n",
                    "Content-Length: 2,5\r\n",
                    "Content-Length: 18446744073709551616\r\n",
                    "Content-Length: 5\r\nContent-Length: 2\r\n",
                    "Content-Length: 5\r\n 0\r\n",
                    "Transfer-Encoding: gzip, chunked\r\n",
                    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                    "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n"));

// Waiting for a body would take the next response for it.
TEST_F(client_test, responses_without_a_body_end_with_their_head) {
    for (const char* fields :
         {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"})
        for (const char* status : {"204", "304"}) {
            begin("HTTP/1.1 " + std::string{status} + " X\r\n" + fields +
                  "\r\n");
            const auto log = ended();
            EXPECT_TRUE(log.m_complete) << status << fields;
            EXPECT_TRUE(log.m_reusable) << status << fields;
            EXPECT_EQ(log.m_body, "");
        }
}

TEST_F(client_test, a_response_to_head_ends_with_its_head) {
    for (const char* fields :
         {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
        begin("HTTP/1.1 200 OK\r\n" + std::string{fields} + "\r\n", true);
        const auto log = ended();
        EXPECT_TRUE(log.m_complete) << fields;
        EXPECT_TRUE(log.m_reusable) << fields;
        EXPECT_EQ(log.m_body, "");
    }
}

TEST_F(client_test, a_connection_that_will_close_is_not_reused) {
    for (const char* fields : {"Connection: close, x\r\n",
                               "Connection: x\r\nConnection: close\r\n"}) {
        begin("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + std::string{fields} +
              "\r\n");
        const auto log = ended();
        EXPECT_TRUE(log.m_complete) << fields;
        EXPECT_FALSE(log.m_reusable) << fields;
    }
}
