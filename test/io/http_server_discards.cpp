// Reports of connections that end with unanswered input.
#include <string>

#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_discards : public test::http_server_fixture {
protected:
    void expect_one(io::discard_cause cause, std::size_t bytes) {
        ASSERT_EQ(m_discarded.size(), 1U);
        EXPECT_EQ(m_discarded.front().first, cause);
        EXPECT_EQ(m_discarded.front().second, bytes);
    }

    static constexpr const char* m_closing_get =
        "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
};

} // namespace

TEST_F(http_server_discards, are_reported_behind_a_closing_answer) {
    raw_caller caller{m_where};
    caller.write(m_closing_get + std::string{"seven.."});
    run_until_received(1);
    caller.write("three");
    m_server.answer(m_exchanges.front(), 200, {}, "hello");
    run_until_closed(caller);
    expect_one(io::discard_cause::closing_answer, 12);
}

TEST_F(http_server_discards, are_reported_behind_a_broken_answer) {
    raw_caller caller{m_where};
    caller.write(m_get + std::string{"seven.."});
    run_until_received(1);
    m_server.start(m_exchanges.front(), 200, {}, 5);
    m_server.abort(m_exchanges.front());
    run_until([this] { return m_closed == 1; });
    expect_one(io::discard_cause::broken_answer, 7);
}

TEST_F(http_server_discards, are_reported_for_input_beyond_its_limit) {
    m_server.set_limits({10, seconds{60}, 100});
    raw_caller caller{m_where};
    const std::string head = "GET / HTTP/1.1\r\nX: " + std::string(1000, 'x');
    caller.write(head);
    run_until_closed(caller);
    ASSERT_FALSE(m_discarded.empty());
    EXPECT_EQ(m_discarded.front().first, io::discard_cause::input_limit);
    EXPECT_EQ(m_discarded.front().second, head.size());
}

TEST_F(http_server_discards, are_not_reported_without_further_input) {
    {
        raw_caller caller{m_where};
        caller.write(m_closing_get);
        run_until_received(1);
        m_server.answer(m_exchanges.front(), 200, {}, "hello");
        run_until_closed(caller);
    }
    run_until([this] { return m_server.connections() == 0; });
    EXPECT_TRUE(m_discarded.empty());
}
