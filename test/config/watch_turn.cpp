// Who is elected asks; others ask only when nobody confirms anything.
#include <skylark/config/watch_turn.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};

// Calls of one entry in half a minute, looked at every 0.2 s.
int calls(const watch_state& state) {
    watch_turn subject{seconds{3}};
    subject.start(start);
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
