// The elected entry calls the store; others call only when no confirmation
// arrives.
#include <skylark/config/watch_schedule.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};

// Number of calls of one entry within 30 s, checked every 0.2 s.
int calls(const watch_state& state) {
    watch_schedule subject{seconds{3}};
    subject.start(start, false);
    int out = 0;
    for (int ms = 200; ms <= 30'000; ms += 200)
        out += subject.due(start + milliseconds{ms}, state) ? 1 : 0;
    return out;
}

} // namespace

TEST(watch_schedule, an_elected_entry_always_calls) {
    EXPECT_EQ(calls({true, false, duration{0}}), 150);
    EXPECT_EQ(calls({true, true, duration{0}}), 150);
}

TEST(watch_schedule, others_call_only_without_a_confirmation) {
    EXPECT_EQ(calls({false, false, seconds{1}}), 0);
    EXPECT_EQ(calls({false, false, seconds{60}}), 9);
}

TEST(watch_schedule, a_rejected_entry_calls_rarely) {
    EXPECT_EQ(calls({false, true, seconds{1}}), 1);
    EXPECT_EQ(calls({false, true, seconds{60}}), 1);
}

namespace {

// Time from the start of an entry until its first call.
duration first_call(bool bootstrap, const watch_state& state) {
    watch_schedule subject{seconds{3}};
    subject.start(start, bootstrap);
    for (int ms = 0; ms <= 10'000; ms += 10)
        if (subject.due(start + milliseconds{ms}, state))
            return milliseconds{ms};
    return duration::max();
}

constexpr duration unknown_age = std::chrono::hours{1};

} // namespace

TEST(watch_schedule, without_peers_calls_after_the_start_delay) {
    const watch_state state{true, false, unknown_age, false, false};
    // Callers are refused until the first call is answered.
    EXPECT_LE(first_call(false, state), milliseconds{40});
    EXPECT_EQ(first_call(true, state), seconds{1});
}

// One entry that restarts gets everything from a peer and costs no call. The
// reply to its first heartbeat takes a round trip between zones.
TEST(watch_schedule, a_peer_has_time_to_reply_before_the_first_call) {
    constexpr auto round_trip = milliseconds{3};
    EXPECT_GE(watch_schedule::start_delay(false), 5 * round_trip);
}

TEST(watch_schedule, waits_for_a_peer_that_has_the_value) {
    const watch_state state{true, false, unknown_age, false, true};
    EXPECT_EQ(first_call(false, state), seconds{1});
}

TEST(watch_schedule, an_entry_calls_for_what_peers_do_not_deliver) {
    watch_state state{false, false, seconds{1}};
    state.m_overdue = true;
    EXPECT_GE(calls(state), 20);
    EXPECT_LE(calls(state), 30);
    state.m_store_lost = true;
    EXPECT_EQ(calls(state), 1);
}
