// Callers that end their input or their connection under an exchange.
#include <memory>

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
