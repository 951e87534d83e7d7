// Callers that end their input or their connection under an exchange.
#include <fstream>
#include <iomanip>
#include <memory>
#include <sstream>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_callers_test : public test::http_server_fixture {
protected:
    std::unique_ptr<raw_caller> ask() {
        auto out = std::make_unique<raw_caller>(m_where);
        out->write(m_get);
        run_until_received(1);
        return out;
    }

    exchange_id asked() const { return m_exchanges.front(); }
};

// Whether the kernel has a socket whose remote end is a local port.
bool socket_remains(address remote) {
    std::ostringstream wanted;
    wanted << std::uppercase << std::hex << std::setw(4) << std::setfill('0')
           << remote.m_port;
    std::ifstream sockets{"/proc/net/tcp"};
    std::string line;
    while (std::getline(sockets, line)) {
        std::istringstream fields{line};
        std::string slot;
        std::string local;
        std::string peer;
        std::string state;
        fields >> slot >> local >> peer >> state;
        constexpr const char* time_wait = "06";
        if (peer.ends_with(":" + wanted.str()) && state != time_wait)
            return true;
    }
    return false;
}

} // namespace

TEST_F(http_server_callers_test, the_end_of_the_input_alone_is_no_failure) {
    const auto caller = ask();
    EXPECT_FALSE(m_server.caller_unreachable(asked()));
    caller->end_input();
    run_until([this] { return m_server.caller_disconnected(asked()); });
    EXPECT_FALSE(m_server.caller_unreachable(asked()));
    m_server.answer(asked(), 200, {}, "hello");
    run_until_closed(*caller);
    EXPECT_EQ(body_of(*caller), "hello");
}

TEST_F(http_server_callers_test, a_reset_is_noticed) {
    auto caller = ask();
    caller->reset_at_end();
    caller.reset();
    run_until([this] { return m_server.caller_unreachable(asked()); });
}

TEST_F(http_server_callers_test,
       a_reset_after_the_end_of_the_input_is_noticed) {
    auto caller = ask();
    caller->end_input();
    run_until([this] { return m_server.caller_disconnected(asked()); });
    caller->reset_at_end();
    caller.reset();
    run_until([this] { return m_server.caller_unreachable(asked()); });
}

TEST_F(http_server_callers_test, a_reset_behind_unread_input_is_noticed) {
    auto caller = ask();
    caller->write("more");
    for (int i = 0; i < 20; ++i)
        m_loop.run_once(milliseconds{1});
    EXPECT_FALSE(m_server.caller_disconnected(asked()));
    caller->reset_at_end();
    caller.reset();
    run_until([this] { return m_server.caller_disconnected(asked()); });
}

// The kernel took 4 MB for each, beyond all limits on unread answers.
TEST_F(http_server_callers_test, that_read_nothing_hold_few_bytes_of_answers) {
    constexpr int small_buffer = 4096;
    constexpr std::size_t most_taken = std::size_t{256} << 10U;
    const std::string piece(std::size_t{16} << 10U, 'x');
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.start(asked(), 200, {}, std::nullopt);
    std::size_t taken = 0;
    for (int idle = 0; idle < 50; ++idle) {
        const int before = m_ready;
        m_server.send(asked(), piece, false);
        for (int i = 0; i < 5 && m_ready == before; ++i)
            m_loop.run_once(milliseconds{1});
        if (m_ready > before) {
            taken += piece.size();
            idle = 0;
        }
    }
    EXPECT_GE(taken, piece.size());
    EXPECT_LE(taken, most_taken);
}

TEST_F(http_server_callers_test, that_stay_do_not_keep_broken_answers) {
    constexpr int small_buffer = 4096;
    constexpr auto limit = seconds{5};
    raw_caller caller{m_where, small_buffer};
    caller.write(m_get);
    run_until_received(1);
    m_server.start(asked(), 200, {}, std::nullopt);
    m_server.send(asked(), std::string(std::size_t{64} << 10U, 'x'), false);
    for (int i = 0; i < 20; ++i)
        m_loop.run_once(milliseconds{1});
    ASSERT_TRUE(socket_remains(caller.local()));
    m_server.abort(asked());
    const time_point begin = io::event_loop::now();
    while (socket_remains(caller.local()) &&
           io::event_loop::now() - begin < limit)
        m_loop.run_once(milliseconds{50});
    EXPECT_FALSE(socket_remains(caller.local()));
}
