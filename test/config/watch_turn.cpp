// Who is elected asks; others ask only when nobody confirms anything.
#include <skylark/config/watch_turn.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};

// Calls of one entry in half a minute, looked at every 0.2 s.
int calls(const watch_state& state) {
    watch_turn subject{seconds{3}};
    subject.start(start, false);
    int out = 0;
    for (int ms = 200; ms <= 30'000; ms += 200)
        out += subject.due(start + milliseconds{ms}, state) ? 1 : 0;
    return out;
}

} // namespace

TEST(watch_turn, the_elected_one_asks_whenever_it_can) {
    EXPECT_EQ(calls({true, false, duration{0}}), 150);
    EXPECT_EQ(calls({true, true, duration{0}}), 150);
}

TEST(watch_turn, others_ask_without_a_confirmation) {
    EXPECT_EQ(calls({false, false, seconds{1}}), 0);
    EXPECT_EQ(calls({false, false, seconds{60}}), 9);
}

TEST(watch_turn, whom_the_store_turns_away_asks_seldom) {
    EXPECT_EQ(calls({false, true, seconds{1}}), 1);
    EXPECT_EQ(calls({false, true, seconds{60}}), 1);
}

namespace {

// Time from its start until an entry without anything asks.
duration first_call(bool bootstrap, const watch_state& state) {
    watch_turn subject{seconds{3}};
    subject.start(start, bootstrap);
    for (int ms = 0; ms <= 10'000; ms += 10)
        if (subject.due(start + milliseconds{ms}, state))
            return milliseconds{ms};
    return duration::max();
}

constexpr duration unknown_age = std::chrono::hours{1};

} // namespace

TEST(watch_turn, who_hears_nobody_asks_at_once) {
    const watch_state state{true, false, unknown_age, false, false};
    EXPECT_LE(first_call(false, state), milliseconds{100});
    EXPECT_EQ(first_call(true, state), seconds{1});
}

TEST(watch_turn, who_hears_a_peer_that_knows_waits_for_it) {
    const watch_state state{true, false, unknown_age, false, true};
    EXPECT_EQ(first_call(false, state), seconds{1});
}
