// Servers that answer before they have read the request and end the connection.
#include "io/http_client.hpp"

#include "test/io/client_fixture.hpp"

using namespace skylark;
using skylark::test::client_test;

namespace {

// Larger than what the kernel takes for a receiver that does not read.
constexpr std::size_t beyond_kernel = std::size_t{12} << 20U;
// Takes several turns of the loop.
constexpr std::size_t several_turns = 100'000;
constexpr auto unsized_part = "HTTP/1.1 200 OK\r\n\r\npart";

class early_answers : public client_test {
protected:
    // Sends a request that the kernel does not take whole.
    void begin_upload() {
        m_log = {};
        m_connected = false;
        open();
        m_client.send(m_connection,
                      "POST / HTTP/1.1\r\nContent-Length: " +
                          std::to_string(m_body.size()) + "\r\n\r\n",
                      m_body, false);
        m_loop.run_once(milliseconds{10});
    }

    // Unread input makes the close a reset, at which the write fails.
    test::exchange_log answer_and_reset(const std::string& answer) {
        begin_upload();
        m_server.write(answer);
        m_server.end();
        return ended();
    }

    // Answers without a length; all of the answer is read.
    void answer_part() {
        begin_upload();
        m_server.write(unsized_part);
        run_until([this] { return m_log.m_body == "part"; });
        ASSERT_TRUE(m_client.writing(m_connection));
    }

    const std::string m_body = std::string(beyond_kernel, 'x');
};

std::string sized(std::size_t length) {
    return "HTTP/1.1 500 No\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
}

} // namespace

TEST_F(early_answers, are_not_cut_by_the_failed_write_of_their_request) {
    for (const std::size_t length : {std::size_t{0}, several_turns}) {
        const auto log =
            answer_and_reset(sized(length) + std::string(length, 'y'));
        EXPECT_EQ(log.m_status, 500);
        EXPECT_TRUE(log.m_complete);
        EXPECT_FALSE(log.m_reusable);
        EXPECT_EQ(log.m_body.size(), length);
    }
}

TEST_F(early_answers, that_a_reset_cuts_are_not_taken_for_whole) {
    const std::string part(several_turns, 'y');
    for (const std::string& answer :
         {sized(several_turns + 1) + part,
          "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + part}) {
        const auto log = answer_and_reset(answer);
        EXPECT_TRUE(log.m_failed);
        EXPECT_TRUE(log.m_head_received);
        EXPECT_FALSE(log.m_complete);
    }
}

// The failed write takes the error, so the input only ends.
TEST_F(early_answers, read_before_their_reset_are_not_taken_for_whole) {
    answer_part();
    m_server.end();
    const auto log = ended();
    EXPECT_TRUE(log.m_failed);
    EXPECT_FALSE(log.m_complete);
}

TEST_F(early_answers, that_end_before_a_reset_are_not_taken_for_whole) {
    answer_part();
    m_server.close_writing();
    m_server.reset();
    const auto log = ended();
    EXPECT_TRUE(log.m_failed);
    EXPECT_FALSE(log.m_complete);
}

TEST_F(early_answers, that_end_in_order_are_whole_before_their_request_is) {
    answer_part();
    m_server.close_writing();
    const auto log = ended();
    EXPECT_TRUE(log.m_complete);
    EXPECT_TRUE(log.m_close_delimited);
    EXPECT_EQ(log.m_body, "part");
}

TEST_F(early_answers, that_do_not_come_leave_the_request_unknown) {
    const auto log = answer_and_reset("");
    EXPECT_TRUE(log.m_failed);
    EXPECT_TRUE(log.m_bytes_sent);
    EXPECT_FALSE(log.m_head_received);
}
