// End of the servers for lookups, operators and peers: calls in progress get
// their answer.
#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "entry/control.hpp"
#include "entry/lookup.hpp"
#include "io/event_loop.hpp"
#include "test/io/raw_caller.hpp"
#include "test/own_address.hpp"

using namespace skylark;
using skylark::test::raw_caller;

namespace {

class listener_shutdown : public testing::Test {
protected:
    static entry::settings prepare_settings() {
        entry::settings out;
        out.m_name = "e1";
        out.m_log_level = "off";
        out.m_callers = test::own_address();
        out.m_control = test::own_address();
        out.m_lookup = test::own_address();
        out.m_platform = test::own_address(); // no store listens there
        return out;
    }

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    io::event_loop m_loop;
    entry::context m_shared{m_loop, prepare_settings()};
    io::http_server m_callers{m_loop, {}};
    entry::forwarder m_forwarder{m_shared, m_callers, 1};
    entry::configurator m_configurator{m_shared, [] {}};
    entry::control m_control{m_shared, m_forwarder, m_configurator};
    entry::lookup m_lookup{m_shared};
};

} // namespace

TEST_F(listener_shutdown, a_queued_lookup_is_answered) {
    ASSERT_TRUE(m_lookup.listen());
    raw_caller caller{*m_shared.m_settings.m_lookup};
    caller.write("GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
    m_lookup.begin_shutdown();
    EXPECT_FALSE(m_lookup.drained());
    run_until([&] { return !caller.read(); });
    EXPECT_EQ(caller.error(), 0);
    EXPECT_TRUE(caller.bytes().ends_with("no such path\n"));
    run_until([this] { return m_lookup.drained(); });
}

TEST_F(listener_shutdown, a_change_under_way_is_answered) {
    ASSERT_TRUE(m_control.listen());
    raw_caller caller{m_shared.m_settings.m_control};
    const std::string change = "drain zone a";
    caller.write("POST /query HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                 std::to_string(change.size()) + "\r\n\r\n" + change);
    m_control.begin_shutdown();
    run_until([&] {
        const bool open = caller.read();
        EXPECT_TRUE(!open || !m_control.drained());
        return !open;
    });
    EXPECT_EQ(caller.error(), 0);
    EXPECT_TRUE(caller.bytes().starts_with("HTTP/1.1 503 "));
    EXPECT_NE(caller.bytes().find(R"("change":"not made")"), std::string::npos);
    run_until([this] { return m_control.drained(); });
}
