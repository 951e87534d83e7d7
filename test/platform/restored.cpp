// What callers get while the platform's store comes back from a copy.
#include "test/platform/node_fixture.hpp"

using namespace skylark;
using skylark::test::configuration;

namespace {

// A configuration with a further route, "/c/".
std::string with_route(const std::string& version) {
    std::string out = configuration;
    out.replace(out.find("00000007"), version.size(), version);
    const std::string rows = "\"rows\":[";
    out.insert(out.find(rows) + rows.size(),
               R"(["new","h.example","/c/","safe",1000,"stock",2],)");
    return out;
}

class restored_platform : public test::platform_node {
protected:
    // Adds the route after the copy was taken.
    void start_with_new_route() {
        start_with_upstreams();
        m_store.save_copy();
        m_store.put("op/config", with_route("00000009"));
        turn_until([this] { return status(ask("/c/x")) == 200; });
    }

    void turn_for(duration time) {
        const time_point end = io::event_loop::now() + time;
        turn_until([&] { return io::event_loop::now() >= end; });
    }

    // The servers' records are in the copy, and they go on writing.
    void restore() { ASSERT_TRUE(m_store.restore_copy()); }
};

} // namespace

TEST_F(restored_platform,
       a_confirmed_route_is_served_though_the_copy_lacks_it) {
    start_with_new_route();
    restore();
    const time_point end = io::event_loop::now() + seconds{3};
    while (io::event_loop::now() < end)
        ASSERT_EQ(status(ask("/c/x")), 200);
}

// More revisions are lost than are given out again.
TEST_F(restored_platform, a_route_added_at_a_reissued_revision_is_served) {
    start_with_new_route();
    for (const char* version : {"0000000a", "0000000b"})
        m_store.put("op/config", with_route(version));
    turn_for(seconds{1});
    const auto before = m_store.revision();
    restore();
    m_store.put("op/config", with_route("0000000b"));
    turn_for(seconds{1});
    std::string next = with_route("0000000c");
    next.replace(next.find("/c/"), 3, "/d/");
    m_store.put("op/config", next);
    ASSERT_LT(m_store.revision(), before);
    const time_point limit = io::event_loop::now() + seconds{3};
    while (status(ask("/d/x")) != 200)
        ASSERT_LT(io::event_loop::now(), limit);
    EXPECT_NE(status(ask("/c/x")), 200);
}

TEST_F(restored_platform, a_drained_zone_gets_nothing_though_the_copy_has_it) {
    start_with_upstreams();
    m_store.save_copy();
    m_store.put("op/evacuate/a", "{}");
    turn_until([this] {
        m_near.m_requests = 0;
        return status(ask("/a/x")) == 200 && m_near.m_requests == 0 &&
               m_far.m_requests > 0;
    });
    restore();
    m_store.put("op/config", with_route("00000009"));
    turn_until([this] { return status(ask("/c/x")) == 200; });
    m_near.m_requests = 0;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(status(ask("/a/x")), 200);
    EXPECT_EQ(m_near.m_requests, 0);
}

TEST_F(restored_platform, an_upstream_that_is_gone_gets_nothing_again) {
    start_with_upstreams();
    m_store.save_copy();
    m_store.erase("servers/" + m_near.id());
    turn_until([this] {
        m_near.m_requests = 0;
        return status(ask("/a/x")) == 200 && m_near.m_requests == 0;
    });
    restore();
    m_near.m_requests = 0;
    const time_point end = io::event_loop::now() + seconds{2};
    while (io::event_loop::now() < end)
        ASSERT_EQ(status(ask("/a/x")), 200);
    EXPECT_EQ(m_near.m_requests, 0);
}

TEST_F(restored_platform,
       a_zone_drained_before_the_version_returns_is_drained) {
    start_with_new_route();
    restore();
    m_store.put("op/evacuate/a", "{}");
    turn_until([this] {
        m_near.m_requests = 0;
        return status(ask("/c/x")) == 200 && m_near.m_requests == 0 &&
               m_far.m_requests > 0;
    });
    turn_for(seconds{1});
    m_near.m_requests = 0;
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(status(ask("/c/x")), 200);
    EXPECT_EQ(m_near.m_requests, 0);
}
