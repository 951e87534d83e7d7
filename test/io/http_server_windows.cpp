// What the kernel keeps of uploads must not grow with each caller, and a large
// upload must not wait for each part of it.
#include <deque>

#include "io/receive_windows.hpp"
#include "test/io/http_server_fixture.hpp"
#include "test/io/receive_buffer.hpp"

using namespace skylark;
using io::receive_windows;
using skylark::test::raw_caller;
using skylark::test::receive_buffer_to;

namespace {

constexpr std::size_t upload_size = std::size_t{512} << 10U;
constexpr std::size_t room = 2; // wide buffers

class server_windows : public testing::Test {
protected:
    server_windows() {
        m_server.set_handlers(
            {[this](exchange_id key, const io::request_view&) {
                 m_server.answer(key, 200, {}, "");
             },
             {},
             {},
             {}});
        m_where = m_server.listen({0x7f000001U, 0}).value();
    }

    // Begins an upload, of which a part is sent, and waits for a check of
    // input.
    raw_caller& begin_upload(std::size_t part) {
        raw_caller& caller = m_callers.emplace_back(m_where);
        std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                            std::to_string(upload_size) + "\r\n\r\n" +
                            std::string(part, 'x');
        const time_point end = io::event_loop::now() + milliseconds{250};
        while (io::event_loop::now() < end) {
            caller.write_some(bytes);
            m_loop.run_once(milliseconds{5});
        }
        EXPECT_TRUE(bytes.empty());
        return caller;
    }

    std::size_t buffer_of(const raw_caller& caller) const {
        return receive_buffer_to(caller.local());
    }

    io::event_loop m_loop;
    receive_windows m_windows{room * receive_windows::cost};
    io::http_server m_server{m_loop, {std::size_t{1} << 20U}, &m_windows};
    address m_where;
    std::deque<raw_caller> m_callers;
};

} // namespace

TEST_F(server_windows, of_many_uploads_stay_within_the_budget) {
    constexpr std::size_t count = 6;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        begin_upload(2 * receive_windows::much_input);
    for (const raw_caller& caller : m_callers)
        sum += buffer_of(caller);
    EXPECT_LE(sum, count * 2 * receive_windows::narrow +
                       room * receive_windows::cost);
    EXPECT_EQ(m_windows.granted(), room * receive_windows::cost);
}

TEST_F(server_windows, of_short_uploads_stay_narrow) {
    const raw_caller& caller = begin_upload(receive_windows::much_input / 2);
    EXPECT_EQ(buffer_of(caller), std::size_t{2 * receive_windows::narrow});
}

TEST_F(server_windows, are_given_back_by_each_close) {
    for (std::size_t i = 0; i < room; ++i)
        begin_upload(2 * receive_windows::much_input);
    ASSERT_EQ(m_windows.granted(), room * receive_windows::cost);
    m_callers.clear();
    for (int i = 0; i < 1000 && m_server.connections() > 0; ++i)
        m_loop.run_once(milliseconds{5});
    EXPECT_EQ(m_windows.granted(), 0U);
    const raw_caller& next = begin_upload(2 * receive_windows::much_input);
    EXPECT_EQ(buffer_of(next), std::size_t{2 * receive_windows::wide});
}

TEST(server_buffers, of_a_fixed_size_do_not_grow) {
    io::event_loop loop;
    io::server_limits limits;
    limits.m_receive_buffer_bytes = receive_windows::narrow;
    io::http_server server{loop, limits};
    server.set_handlers({});
    const raw_caller caller{server.listen({0x7f000001U, 0}).value()};
    for (int i = 0; i < 1000 && server.connections() == 0; ++i)
        loop.run_once(milliseconds{5});
    EXPECT_EQ(receive_buffer_to(caller.local()),
              std::size_t{2 * receive_windows::narrow});
}
