// The store counts as lost when a call fails or outlasts its wait.
#include <skylark/config/store_reachability.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {
constexpr time_point start{seconds{100}};
}

TEST(store_reachability, starts_as_reachable) {
    const store_reachability subject;
    EXPECT_FALSE(subject.lost(start + seconds{1000}));
}

TEST(store_reachability, a_long_poll_is_not_late_before_its_wait_ends) {
    store_reachability subject;
    subject.call_started(start, milliseconds{800});
    EXPECT_FALSE(subject.lost(start + milliseconds{900}));
    EXPECT_TRUE(subject.lost(start + milliseconds{1000}));
    subject.call_succeeded();
    EXPECT_FALSE(subject.lost(start + milliseconds{1000}));
}

TEST(store_reachability, stays_lost_after_a_failure_until_a_call_succeeds) {
    store_reachability subject;
    subject.call_started(start, duration{0});
    subject.call_failed();
    EXPECT_TRUE(subject.lost(start));
    subject.call_started(start + seconds{1}, seconds{1});
    EXPECT_TRUE(subject.lost(start + seconds{1}));
    subject.call_succeeded();
    EXPECT_FALSE(subject.lost(start + seconds{2}));
}
