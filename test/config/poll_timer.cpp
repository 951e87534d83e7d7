// An entry without confirmation polls the store once per interval.
#include <skylark/config/poll_timer.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(poll_timer, a_confirmed_entry_does_not_poll) {
    poll_timer subject{seconds{3}};
    subject.start(time_point{seconds{1}});
    for (int s = 2; s < 60; ++s)
        EXPECT_FALSE(subject.due(time_point{seconds{s}}, milliseconds{1500}));
}

TEST(poll_timer, an_outage_costs_one_poll_per_interval) {
    poll_timer subject{seconds{3}};
    const time_point start{seconds{100}};
    subject.start(start);
    int polls = 0;
    for (int ms = 0; ms <= 30'000; ms += 100)
        polls +=
            subject.due(start + milliseconds{ms}, milliseconds{ms}) ? 1 : 0;
    EXPECT_GE(polls, 9);
    EXPECT_LE(polls, 10);
}

TEST(poll_timer, an_entry_without_any_confirmation_polls) {
    poll_timer subject{seconds{3}};
    subject.start(time_point{seconds{1}});
    EXPECT_FALSE(subject.due(time_point{seconds{2}}, duration::max()));
    EXPECT_TRUE(subject.due(time_point{seconds{5}}, duration::max()));
}
