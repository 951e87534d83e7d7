// The rate is kept over any interval, and a new bucket starts empty.
#include <skylark/limit/token_bucket.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(token_bucket, keeps_the_rate) {
    token_bucket subject{2.0, 1.0};
    time_point now{seconds{5}};
    EXPECT_FALSE(subject.take(now)) << "starts empty";
    int taken = 0;
    for (int i = 0; i < 1000; ++i) {
        now += milliseconds{10};
        taken += subject.take(now) ? 1 : 0;
    }
    EXPECT_LE(taken, 20);
    EXPECT_GE(taken, 19);
}

TEST(token_bucket, burst_covers_the_interval_between_polls) {
    token_bucket subject{0.0, 1.0};
    subject.set_rate(100.0, 10.0);
    time_point now{seconds{5}};
    int taken = 0;
    for (int i = 0; i < 100; ++i) { // polls every 50 ms for 5 s
        while (subject.take(now))
            ++taken;
        now += milliseconds{50};
    }
    EXPECT_LE(taken, 500);
    EXPECT_GE(taken, 490);
}

TEST(token_bucket, has_does_not_take_a_token) {
    token_bucket subject{1.0, 1.0};
    subject.has(time_point{seconds{1}});
    const time_point later{seconds{3}};
    EXPECT_TRUE(subject.has(later));
    EXPECT_TRUE(subject.take(later));
    EXPECT_FALSE(subject.has(later));
}
