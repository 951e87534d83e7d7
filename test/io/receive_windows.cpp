// What the kernel keeps of answers that nobody reads must not grow with each
// connection, and a large answer must not wait for each part of it.
#include "io/receive_windows.hpp"

#include <memory>
#include <sys/ioctl.h>
#include <vector>

#include "test/io/client_fixture.hpp"
#include "test/io/receive_buffer.hpp"

using namespace skylark;
using io::receive_windows;
using skylark::test::raw_upstream_server;
using skylark::test::receive_buffer_to;
using skylark::test::request_bytes;

namespace {

constexpr std::size_t mb = std::size_t{1} << 20U;

const std::size_t narrow_buffer = 2 * receive_windows::narrow;
const std::size_t wide_buffer = 2 * receive_windows::wide;

class client_windows : public test::client_test {
protected:
    // One server with one connection, whose answer has begun.
    struct exchange {
        raw_upstream_server m_server;
        connection_id m_connection;
        std::size_t m_received{};
        bool m_connected{};
    };

    // Begins an answer of a length, of which a part is sent.
    exchange& begin_long(std::size_t length, std::size_t part) {
        exchange& created =
            *m_exchanges.emplace_back(std::make_unique<exchange>());
        created.m_connection = m_windowed.open(
            created.m_server.where(),
            [&created](connection_id, const io::client_event& what) {
                created.m_connected |=
                    std::holds_alternative<io::connected>(what);
                if (const auto* body = std::get_if<io::body_received>(&what))
                    created.m_received += body->m_piece.size();
            });
        run_until([&] { return created.m_connected; });
        created.m_server.accept_one();
        m_windowed.send(created.m_connection, request_bytes, false);
        created.m_server.read_request();
        created.m_server.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(length) + "\r\n\r\n");
        send_part(created, part);
        return created;
    }

    void send_part(exchange& to, std::size_t size) {
        const std::size_t expected = to.m_received + size;
        const std::string piece(std::size_t{4} << 10U, 'x');
        for (std::size_t sent = 0; sent < size; sent += piece.size()) {
            to.m_server.write(piece);
            m_loop.run_once(milliseconds{0});
        }
        run_until([&] { return to.m_received >= expected; });
    }

    std::size_t buffer_of(const exchange& of) const {
        return receive_buffer_to(of.m_server.where());
    }

    static constexpr std::size_t room = 3; // wide buffers
    receive_windows m_windows{room * receive_windows::cost};
    io::http_client m_windowed{m_loop, {}, &m_windows};
    std::vector<std::unique_ptr<exchange>> m_exchanges;
};

} // namespace

TEST_F(client_windows, of_many_long_answers_stay_within_the_budget) {
    constexpr std::size_t count = 12;
    std::size_t sum = 0;
    for (std::size_t i = 0; i < count; ++i)
        begin_long(mb, 2 * receive_windows::much_input);
    for (const auto& one : m_exchanges)
        sum += buffer_of(*one);
    EXPECT_LE(sum, count * narrow_buffer + room * receive_windows::cost);
    EXPECT_EQ(m_windows.granted(), room * receive_windows::cost);
}

TEST_F(client_windows, of_short_answers_stay_narrow) {
    const exchange& one = begin_long(mb, receive_windows::much_input / 2);
    EXPECT_EQ(buffer_of(one), narrow_buffer);
    EXPECT_EQ(m_windows.granted(), 0U);
}

TEST_F(client_windows, are_given_back_by_each_close) {
    for (std::size_t i = 0; i < room; ++i)
        begin_long(mb, 2 * receive_windows::much_input);
    ASSERT_EQ(m_windows.granted(), room * receive_windows::cost);
    m_windowed.close(m_exchanges[0]->m_connection);
    m_exchanges[1]->m_server.reset();
    run_until([this] { return m_windowed.size() == 1; });
    EXPECT_EQ(m_windows.granted(), receive_windows::cost);
    const exchange& next = begin_long(mb, 2 * receive_windows::much_input);
    EXPECT_EQ(buffer_of(next), wide_buffer);
}

TEST_F(client_windows, are_counted_while_their_connections_are_idle) {
    exchange& one = begin_long(2 * receive_windows::much_input,
                               2 * receive_windows::much_input);
    EXPECT_TRUE(m_windowed.usable(one.m_connection));
    EXPECT_EQ(m_windows.granted(), receive_windows::cost);
}

TEST_F(client_windows, that_are_wide_take_more_of_an_answer_in) {
    exchange& one = begin_long(100 * mb, 2 * receive_windows::much_input);
    m_windowed.pause(one.m_connection);
    // Beyond what narrow buffers and the server's send buffer would take.
    const std::string piece(6 * narrow_buffer, 'x');
    one.m_server.write(piece);
    const int fd = test::descriptor_to(one.m_server.where());
    int unread = 0;
    for (int i = 0; i < 1000 && unread < static_cast<int>(piece.size()); ++i) {
        ioctl(fd, FIONREAD, &unread);
        usleep(1000);
    }
    EXPECT_EQ(unread, static_cast<int>(piece.size()));
}
