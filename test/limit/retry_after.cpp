// When a refused caller should return, by cause and by load.
#include <skylark/limit/retry_after.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

refusal no_room(duration target_left, double room_share) {
    refusal out;
    out.m_cause = refusal_cause::no_room;
    out.m_target_left = target_left;
    out.m_service_time = milliseconds{100};
    out.m_room_share = room_share;
    return out;
}

class retry_after_test : public testing::Test {
protected:
    duration delay(const refusal& why) { return retry_after(why, m_random); }

    random_source m_random{5};
};

} // namespace

// Upstreams that refuse some requests although they have room would cost a
// caller its target if it had to wait.
TEST_F(retry_after_test,
       after_an_upstreams_refusal_the_caller_returns_at_once) {
    refusal why = no_room(milliseconds{240}, 1.0);
    why.m_cause = refusal_cause::upstream_refused;
    EXPECT_LE(delay(why), milliseconds{5});
}

TEST_F(retry_after_test, a_leaving_entry_sends_its_callers_on_at_once) {
    refusal why = no_room(milliseconds{240}, 0.0);
    why.m_cause = refusal_cause::entry_leaving;
    EXPECT_LE(delay(why), milliseconds{5});
}

TEST_F(retry_after_test, with_room_elsewhere_the_caller_returns_within_target) {
    for (int left = 125; left <= 400; left += 25) {
        const duration found = delay(no_room(milliseconds{left}, 0.5));
        EXPECT_GT(found, duration{0});
        EXPECT_LT(found + milliseconds{100}, milliseconds{left});
    }
}

TEST_F(retry_after_test, in_overload_returns_are_spread) {
    duration first = duration::max();
    duration last{0};
    for (int i = 0; i < 100; ++i) {
        const duration found = delay(no_room(milliseconds{240}, 0.1));
        first = std::min(first, found);
        last = std::max(last, found);
    }
    EXPECT_GE(first, milliseconds{250}); // beyond the target
    EXPECT_GE(last - first, milliseconds{300});
}

TEST_F(retry_after_test, late_callers_do_not_hurry) {
    EXPECT_GE(delay(no_room(milliseconds{90}, 0.5)), milliseconds{250});
    EXPECT_GE(delay(no_room(milliseconds{-500}, 0.9)), milliseconds{250});
}

TEST_F(retry_after_test, an_unknown_service_time_gives_the_default) {
    refusal why = no_room(milliseconds{240}, 0.9);
    why.m_service_time = duration{0};
    EXPECT_EQ(delay(why), milliseconds{300});
}

TEST_F(retry_after_test, the_caller_returns_when_the_first_upstream_is_warm) {
    refusal why;
    why.m_until_usable = milliseconds{1700};
    EXPECT_EQ(delay(why), milliseconds{1700});
    why.m_until_usable = duration{0};
    EXPECT_GT(delay(why), duration{0});
}

// Also after a refusal by the last upstream that was usable.
TEST_F(retry_after_test, no_caller_returns_before_an_upstream_is_usable) {
    refusal why = no_room(milliseconds{240}, 1.0);
    why.m_cause = refusal_cause::upstream_refused;
    why.m_until_usable = milliseconds{900};
    EXPECT_EQ(delay(why), milliseconds{900});
}

TEST(retry_after_start, names_the_time_at_which_the_entry_is_ready) {
    constexpr duration first_call = milliseconds{100};
    const auto delay = [&](int since_start) {
        return retry_after_start(milliseconds{since_start}, first_call);
    };
    EXPECT_GT(milliseconds{0} + delay(0), first_call);
    EXPECT_LE(delay(0), milliseconds{150});
    EXPECT_LE(delay(90), milliseconds{50});
    EXPECT_LE(delay(110), milliseconds{50});
}

// A store that does not answer is not asked for by all callers all the time.
TEST(retry_after_start, backs_off_while_the_start_takes_longer) {
    EXPECT_GE(retry_after_start(milliseconds{250}, milliseconds{100}),
              milliseconds{150});
    EXPECT_EQ(retry_after_start(seconds{20}, milliseconds{100}),
              milliseconds{300});
}
