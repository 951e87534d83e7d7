// The wait of retrying callers is estimated from the time that they have left,
// and only when most callers agree on a deadline.
#include <skylark/rule/usual_deadline.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(usual_deadline, estimates_how_long_a_caller_has_waited) {
    usual_deadline subject;
    for (int i = 0; i < 20; ++i)
        subject.add(milliseconds{4000});
    EXPECT_EQ(subject.estimate_wait(milliseconds{4000}), duration{0});
    EXPECT_EQ(subject.estimate_wait(milliseconds{3100}), milliseconds{900});
    EXPECT_EQ(subject.estimate_wait(milliseconds{9000}), duration{0});
}

TEST(usual_deadline, estimates_zero_without_a_majority) {
    usual_deadline subject;
    for (int i = 0; i < 100; ++i)
        subject.add(milliseconds{1000 + i});
    EXPECT_EQ(subject.estimate_wait(milliseconds{500}), duration{0});
}

TEST(usual_deadline, withstands_retrying_callers_and_adapts_to_a_new_deadline) {
    usual_deadline subject;
    for (int i = 0; i < 500; ++i)
        subject.add(milliseconds{4000});
    for (int i = 0; i < 400; ++i)
        subject.add(milliseconds{1000 + i});
    EXPECT_EQ(subject.estimate_wait(milliseconds{3000}), milliseconds{1000});
    for (int i = 0; i < 2000; ++i)
        subject.add(milliseconds{800});
    EXPECT_EQ(subject.estimate_wait(milliseconds{500}), milliseconds{300});
}
