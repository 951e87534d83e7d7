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
    subject.call_succeeded(start + milliseconds{1000});
    EXPECT_FALSE(subject.lost(start + milliseconds{1000}));
}

// A waiting watch may be cut while the store works.
TEST(store_reachability, one_failed_call_does_not_count_as_lost) {
    store_reachability subject;
    subject.call_succeeded(start);
    subject.call_started(start, seconds{1});
    subject.call_failed(start + seconds{1});
    EXPECT_TRUE(subject.last_call_failed());
    EXPECT_FALSE(subject.lost(start + seconds{1}));
    subject.call_started(start + seconds{1}, duration{0});
    subject.call_succeeded(start + seconds{1});
    EXPECT_FALSE(subject.last_call_failed());
    EXPECT_FALSE(subject.lost(start + seconds{2}));
}

TEST(store_reachability, stays_lost_after_a_failure_until_a_call_succeeds) {
    store_reachability subject;
    subject.call_started(start, duration{0});
    subject.call_failed(start);
    EXPECT_TRUE(subject.lost(start));
    subject.call_started(start + seconds{1}, seconds{1});
    EXPECT_TRUE(subject.lost(start + seconds{1}));
    subject.call_succeeded(start + seconds{1});
    EXPECT_FALSE(subject.lost(start + seconds{2}));
}

TEST(store_reachability, two_failures_in_a_row_count_as_lost) {
    store_reachability subject;
    subject.call_succeeded(start);
    subject.call_failed(start);
    EXPECT_FALSE(subject.lost(start));
    subject.call_failed(start);
    EXPECT_TRUE(subject.lost(start));
}

TEST(store_reachability, a_late_call_stays_lost_when_it_fails) {
    store_reachability subject;
    subject.call_succeeded(start);
    subject.call_started(start, duration{0});
    subject.call_failed(start + seconds{1});
    EXPECT_TRUE(subject.lost(start + seconds{1}));
}

// A large response on a slow link.
TEST(store_reachability, a_response_that_makes_progress_is_not_lost) {
    store_reachability subject;
    subject.call_started(start, duration{0});
    for (int ms = 100; ms <= 3000; ms += 100) {
        const time_point now = start + milliseconds{ms};
        EXPECT_FALSE(subject.lost(now)) << ms;
        subject.call_progressed(now);
    }
    EXPECT_TRUE(subject.lost(start + milliseconds{3300}));
}
