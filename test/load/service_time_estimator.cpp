// Service time and slowdown under saturation are estimated correctly whatever
// slowness the upstream reports.
#include <skylark/load/service_time_estimator.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(service_time_estimator, divides_out_slowness) {
    service_time_estimator subject;
    EXPECT_EQ(subject.service_time(), duration{0});
    for (int i = 0; i < 50; ++i) {
        subject.add_sample(milliseconds{90}, 1.0, false);
        subject.add_sample(milliseconds{630}, 7.0, false);
    }
    EXPECT_NEAR(to_ms(subject.service_time()), 90, 1);
}

TEST(service_time_estimator, learns_slowdown_of_saturated_upstreams) {
    service_time_estimator subject;
    subject.add_sample(milliseconds{170}, 1.0, true); // no baseline yet
    const double before = subject.saturation_slowdown();
    EXPECT_GT(before, 0.0);
    for (int i = 0; i < 200; ++i) {
        subject.add_sample(milliseconds{100}, 1.0, false);
        subject.add_sample(milliseconds{100}, 1.0, true);
    }
    EXPECT_NEAR(subject.saturation_slowdown(), 0.0, 0.05);
    for (int i = 0; i < 100; ++i) {
        subject.add_sample(milliseconds{100}, 1.0, false);
        subject.add_sample(milliseconds{170}, 1.0, true);
    }
    EXPECT_NEAR(subject.saturation_slowdown(), 0.7, 0.05);
}
