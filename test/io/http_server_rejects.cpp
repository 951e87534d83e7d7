// Requests that the server rejects by itself: each one is reported.
#include "test/io/http_server_fixture.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class http_server_rejects : public test::http_server_fixture {
protected:
    void expect_report(const std::string& bytes, int status,
                       const std::string& path) {
        SCOPED_TRACE(bytes.substr(0, 60));
        m_rejected.clear();
        raw_caller caller{m_where};
        caller.write(bytes);
        run_until([&] {
            caller.read();
            return !m_rejected.empty() &&
                   caller.bytes().find("\r\n\r\n") != std::string::npos;
        });
        EXPECT_TRUE(
            caller.bytes().starts_with("HTTP/1.1 " + std::to_string(status)))
            << caller.bytes();
        ASSERT_EQ(m_rejected.size(), 1U) << caller.bytes();
        EXPECT_EQ(m_rejected.front().first, status);
        EXPECT_EQ(m_rejected.front().second, path);
        EXPECT_TRUE(m_exchanges.empty());
    }
};

} // namespace

TEST_F(http_server_rejects, are_reported_with_their_status) {
    const std::string head = " HTTP/1.1\r\nHost: h\r\n";
    expect_report("no request\r\n\r\n", 400, "");
    expect_report("POST /long" + head + "Content-Length: 4096\r\n\r\n", 413,
                  "/long");
    expect_report("POST /expect" + head +
                      "Expect: 200-ok\r\nContent-Length: 1\r\n\r\n",
                  417, "/expect");
    expect_report("GET /head" + head + "A: " + std::string(70'000, 'a') +
                      "\r\n\r\n",
                  431, "/head");
}

TEST_F(http_server_rejects, do_not_include_answers_of_exchanges) {
    m_refuse_all = true;
    raw_caller caller{m_where};
    caller.write(m_get);
    run_until([&] {
        caller.read();
        return !caller.bytes().empty();
    });
    EXPECT_TRUE(m_rejected.empty());
}

TEST_F(http_server_rejects,
       do_not_include_callers_that_leave_after_a_continue) {
    {
        raw_caller caller{m_where};
        caller.write("POST /x HTTP/1.1\r\nHost: h\r\n"
                     "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
        run_until([&] {
            caller.read();
            return caller.bytes().starts_with("HTTP/1.1 100");
        });
    }
    run_until([this] { return m_server.connections() == 0; });
    EXPECT_TRUE(m_rejected.empty());
}
