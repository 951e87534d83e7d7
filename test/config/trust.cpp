// Entries that lose the confirmation ask one after the other, and not often.
#include <skylark/config/trust.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(trust, a_confirmed_entry_does_not_ask) {
    trust subject{seconds{3}};
    subject.start(time_point{seconds{1}});
    for (int s = 2; s < 60; ++s)
        EXPECT_FALSE(subject.ask(time_point{seconds{s}}, milliseconds{1500}));
}

TEST(trust, an_outage_costs_one_call_in_each_period) {
    trust subject{seconds{3}};
    const time_point start{seconds{100}};
    subject.start(start);
    int calls = 0;
    for (int ms = 0; ms <= 30'000; ms += 100)
        calls +=
            subject.ask(start + milliseconds{ms}, milliseconds{ms}) ? 1 : 0;
    EXPECT_GE(calls, 9);
    EXPECT_LE(calls, 10);
}

TEST(trust, an_entry_without_any_confirmation_asks) {
    trust subject{seconds{3}};
    subject.start(time_point{seconds{1}});
    EXPECT_FALSE(subject.ask(time_point{seconds{2}}, duration::max()));
    EXPECT_TRUE(subject.ask(time_point{seconds{5}}, duration::max()));
}
