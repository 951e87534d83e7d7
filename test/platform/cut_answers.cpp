// Answers of upstreams that break off: callers never get them as whole.
#include "test/platform/interfaces.hpp"

#include <array>

using namespace skylark;
using namespace skylark::test;

namespace {

// What follows the fields that every success has.
struct answer_text {
    std::string m_fields;
    std::string m_body;
};

const std::array cut_texts{
    answer_text{"Content-Length: 5\r\n", "hello"},
    answer_text{"Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n"},
    answer_text{"X: y\r\n", ""}};

constexpr std::array uncertain_fields{
    "Content-Length: abc\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 2,5\r\n",
    "Content-Length: 18446744073709551616\r\n",
    "Content-Length: 5\r\nContent-Length: 2\r\n",
    "Content-Length: 5\r\n 0\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"};

class cut_answers : public whole_entry,
                    public testing::WithParamInterface<entry::deployment> {
protected:
    cut_answers() : whole_entry{GetParam()} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        ++m_served;
        const std::string head = success(got) + m_text.m_fields + "\r\n";
        const std::string whole = head + m_text.m_body;
        m_head = head.size();
        m_whole = whole.size();
        m_upstreams[upstream].say(got.m_connection, whole.substr(0, m_cut),
                                  m_end);
    }

    // Sends requests whose answers are cut after 0, 1, 2, ... bytes.
    void cut_everywhere(const std::string& method, ending how) {
        start_upstreams();
        m_end = how;
        for (const answer_text& text : cut_texts) {
            m_text = text;
            m_whole = 1;
            for (m_cut = 0; m_cut < m_whole; ++m_cut)
                send_to_cut(method);
        }
    }

    void send_to_cut(const std::string& method) {
        SCOPED_TRACE(m_text.m_fields + "cut after byte " +
                     std::to_string(m_cut));
        const int before = m_served;
        const auto got = send_until(method, [&] { return m_served > before; });
        if (m_cut < m_head) {
            EXPECT_EQ(status(got), 502);
        } else {
            EXPECT_NE(status(got), 200);
        }
        // Safe requests may be repeated.
        EXPECT_GT(m_served, before);
        EXPECT_TRUE(method == "GET" || m_served == before + 1);
    }

    // After a failure the native interface waits for a new load report, so
    // other upstreams take the requests meanwhile.
    void start_upstreams() { start(native() ? 16 : 1); }

    answer_text m_text{cut_texts.front()};
    std::size_t m_cut{std::string::npos}; // bytes that are sent
    ending m_end{ending::keep};
    std::size_t m_whole{}; // bytes of the last answer
    std::size_t m_head{};
    int m_served{};
};

} // namespace

TEST_P(cut_answers, by_a_close_before_unsafe_requests) {
    cut_everywhere("POST", ending::close);
}

TEST_P(cut_answers, by_a_reset_before_unsafe_requests) {
    cut_everywhere("POST", ending::reset);
}

TEST_P(cut_answers, by_a_close_before_safe_requests) {
    cut_everywhere("GET", ending::close);
}

TEST_P(cut_answers, by_a_reset_before_safe_requests) {
    cut_everywhere("GET", ending::reset);
}

TEST_P(cut_answers, of_uncertain_length_are_told_as_unknown) {
    start_upstreams();
    m_end = ending::close;
    for (const char* fields : uncertain_fields) {
        m_text = {fields, "5\r\nhello\r\n0\r\n\r\n"};
        for (const char* method : {"POST", "GET"}) {
            SCOPED_TRACE(method + std::string{" "} + fields);
            m_cut = std::string::npos;
            const int before = m_served;
            const auto got =
                send_until(method, [&] { return m_served > before; });
            EXPECT_EQ(status(got), 502);
            EXPECT_GT(m_served, before);
        }
    }
}

INSTANTIATE_TEST_SUITE_P(entry, cut_answers,
                         testing::Values(entry::deployment::native,
                                         entry::deployment::platform),
                         [](const auto& tested) {
                             return name_of(tested.param);
                         });
