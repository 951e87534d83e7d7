// The store is lost when a call fails or stays unanswered past its wait.
#include <skylark/config/store_reach.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {
constexpr time_point start{seconds{100}};
}

TEST(store_reach, is_there_until_a_call_shows_otherwise) {
    const store_reach subject;
    EXPECT_FALSE(subject.lost(start + seconds{1000}));
}

TEST(store_reach, a_call_that_waits_is_not_late_before_its_wait_ends) {
    store_reach subject;
    subject.asked(start, milliseconds{800});
    EXPECT_FALSE(subject.lost(start + milliseconds{900}));
    EXPECT_TRUE(subject.lost(start + milliseconds{1000}));
    subject.answered();
    EXPECT_FALSE(subject.lost(start + milliseconds{1000}));
}

TEST(store_reach, a_failed_call_counts_until_one_is_answered) {
    store_reach subject;
    subject.asked(start, duration{0});
    subject.failed();
    EXPECT_TRUE(subject.lost(start));
    subject.asked(start + seconds{1}, seconds{1});
    EXPECT_TRUE(subject.lost(start + seconds{1}));
    subject.answered();
    EXPECT_FALSE(subject.lost(start + seconds{2}));
}
