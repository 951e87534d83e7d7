// Work and crowding are learnt from answers, whatever the slowness.
#include <skylark/load/work_estimate.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(work_estimate, takes_slowness_out) {
    work_estimate subject;
    EXPECT_EQ(subject.work(), duration{0});
    for (int i = 0; i < 50; ++i) {
        subject.answered(milliseconds{90}, 1.0, false);
        subject.answered(milliseconds{630}, 7.0, false);
    }
    EXPECT_NEAR(to_ms(subject.work()), 90, 1);
}

TEST(work_estimate, learns_how_much_full_upstreams_slow_down) {
    work_estimate subject;
    subject.answered(milliseconds{170}, 1.0, true); // nothing to compare with
    const double before = subject.crowding();
    EXPECT_GT(before, 0.0);
    for (int i = 0; i < 200; ++i) {
        subject.answered(milliseconds{100}, 1.0, false);
        subject.answered(milliseconds{100}, 1.0, true);
    }
    EXPECT_NEAR(subject.crowding(), 0.0, 0.05);
    for (int i = 0; i < 100; ++i) {
        subject.answered(milliseconds{100}, 1.0, false);
        subject.answered(milliseconds{170}, 1.0, true);
    }
    EXPECT_NEAR(subject.crowding(), 0.7, 0.05);
}
