// An entry that hears nothing of the store no longer denies what it does not
// know.
#include "test/platform/node_fixture.hpp"

using namespace skylark;
using skylark::test::platform_node;

namespace {

class stale_configuration : public platform_node {
protected:
    stale_configuration() { m_settings.m_apply_limit = milliseconds{1500}; }

    void set_silent(bool silent) {
        standin::kv_faults faults;
        faults.m_silent = silent;
        m_store.set_faults(faults);
    }

    // Whether a path has got this status for a time without a break.
    bool stays(const std::string& path, int wanted, duration time) {
        const time_point end = io::event_loop::now() + time;
        while (io::event_loop::now() < end)
            if (status(ask(path)) != wanted)
                return false;
        return true;
    }
};

} // namespace

TEST_F(stale_configuration, is_no_reason_to_deny_a_path) {
    start_with_upstreams();
    ASSERT_EQ(status(ask("/new/x")), 404);
    set_silent(true);
    turn_until([this] { return status(ask("/new/x")) != 404; });
    const auto got = ask("/new/x");
    ASSERT_EQ(status(got), 503);
    EXPECT_NE(std::get<io::fetch_answer>(got).header_value("Retry-After"), "");
    EXPECT_TRUE(stays("/new/x", 503, milliseconds{300}));
    EXPECT_EQ(status(ask("/a/x")), 200);
    set_silent(false);
    turn_until([this] { return status(ask("/new/x")) == 404; });
}

TEST_F(stale_configuration, does_not_come_about_beside_a_store_that_answers) {
    start_with_upstreams();
    EXPECT_TRUE(stays("/new/x", 404, 3 * m_settings.m_apply_limit));
}
