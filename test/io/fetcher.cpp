// Buffered answers are whole or failures.
#include "io/fetcher.hpp"

#include <optional>

#include "io/receive_windows.hpp"
#include "test/io/client_fixture.hpp"
#include "test/io/receive_buffer.hpp"

using namespace skylark;
using skylark::test::client_test;

namespace {

class fetcher_test : public client_test {
protected:
    io::fetch_result fetch(const std::string& answer) {
        std::optional<io::fetch_result> out;
        io::fetch_request request;
        request.m_to = m_server.where();
        request.m_path = "/";
        m_fetcher.run(request, [&](const io::fetch_result& got) { out = got; });
        m_server.accept_one();
        m_server.write(answer);
        m_server.close_writing();
        run_until([&] { return out.has_value(); });
        m_server.end();
        return *out;
    }

    io::fetcher m_fetcher{m_loop, 1U << 20U};
};

} // namespace

TEST_F(fetcher_test, a_framed_answer_is_whole) {
    const auto got = fetch("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    const auto* answer = std::get_if<io::fetch_answer>(&got);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->m_body, "hello");
}

// A document cut short would be taken for another document.
TEST_F(fetcher_test, a_body_that_only_the_close_ends_is_a_failure) {
    for (const char* body : {"", "hel", "hello"}) {
        const auto got = fetch("HTTP/1.1 200 OK\r\n\r\n" + std::string{body});
        const auto* failure = std::get_if<io::fetch_failure>(&got);
        ASSERT_TRUE(failure) << body;
        EXPECT_TRUE(failure->m_may_have_run);
    }
}

TEST_F(fetcher_test, an_answer_of_uncertain_length_is_a_failure) {
    const auto got =
        fetch("HTTP/1.1 200 OK\r\nContent-Length: 2,5\r\n\r\nhello");
    EXPECT_TRUE(std::holds_alternative<io::fetch_failure>(got));
}

// The time of a large answer depends on its size and the link, so no limit on
// the whole suits all.
TEST_F(fetcher_test, an_answer_that_makes_progress_is_not_given_up) {
    std::optional<io::fetch_result> out;
    io::fetch_request request;
    request.m_to = m_server.where();
    request.m_path = "/";
    request.m_timeout = milliseconds{200};
    request.m_piece_timeout = milliseconds{200};
    int inputs = 0;
    m_fetcher.run(
        request, [&](const io::fetch_result& got) { out = got; },
        [&] { ++inputs; });
    m_server.accept_one();
    m_server.write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n");
    for (int i = 0; i < 12; ++i) {
        const time_point next = io::event_loop::now() + milliseconds{50};
        run_until([&] { return io::event_loop::now() >= next; });
        ASSERT_FALSE(out) << i;
        m_server.write("x");
    }
    run_until([&] { return out.has_value(); });
    ASSERT_TRUE(std::holds_alternative<io::fetch_answer>(*out));
    EXPECT_EQ(std::get<io::fetch_answer>(*out).m_body, std::string(12, 'x'));
    EXPECT_GT(inputs, 12);
}

TEST_F(fetcher_test, an_answer_that_stops_is_given_up) {
    std::optional<io::fetch_result> out;
    io::fetch_request request;
    request.m_to = m_server.where();
    request.m_path = "/";
    request.m_piece_timeout = milliseconds{100};
    m_fetcher.run(request, [&](const io::fetch_result& got) { out = got; });
    m_server.accept_one();
    m_server.write("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nx");
    run_until([&] { return out.has_value(); });
    EXPECT_TRUE(std::holds_alternative<io::fetch_failure>(*out));
}

TEST_F(fetcher_test, a_cancelled_request_reports_nothing) {
    bool reported = false;
    io::fetch_request request;
    request.m_to = m_server.where();
    request.m_path = "/";
    request.m_timeout = milliseconds{50};
    const auto key = m_fetcher.run(
        request, [&](const io::fetch_result&) { reported = true; });
    m_fetcher.cancel(key);
    m_fetcher.cancel(key);
    const time_point end = io::event_loop::now() + milliseconds{100};
    run_until([&] { return io::event_loop::now() >= end; });
    EXPECT_FALSE(reported);
}

TEST_F(fetcher_test, the_kernel_keeps_little_of_an_answer_that_is_too_large) {
    io::fetcher small{m_loop, 1000};
    io::fetch_request request;
    request.m_to = m_server.where();
    small.run(request, [](const io::fetch_result&) {});
    m_server.accept_one();
    EXPECT_EQ(test::receive_buffer_to(m_server.where()),
              std::size_t{2 * io::receive_windows::narrow});
}
