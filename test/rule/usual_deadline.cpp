// Callers that come back are told by the time that they have left.
#include <skylark/rule/usual_deadline.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(usual_deadline, tells_how_long_a_caller_has_waited) {
    usual_deadline subject;
    for (int i = 0; i < 20; ++i)
        subject.seen(milliseconds{4000});
    EXPECT_EQ(subject.waited(milliseconds{4000}), duration{0});
    EXPECT_EQ(subject.waited(milliseconds{3100}), milliseconds{900});
    EXPECT_EQ(subject.waited(milliseconds{9000}), duration{0});
}

TEST(usual_deadline, says_nothing_without_a_majority) {
    usual_deadline subject;
    for (int i = 0; i < 100; ++i)
        subject.seen(milliseconds{1000 + i});
    EXPECT_EQ(subject.waited(milliseconds{500}), duration{0});
}

TEST(usual_deadline, holds_in_a_crowd_of_returning_callers_and_learns_anew) {
    usual_deadline subject;
    for (int i = 0; i < 500; ++i)
        subject.seen(milliseconds{4000});
    for (int i = 0; i < 400; ++i)
        subject.seen(milliseconds{1000 + i});
    EXPECT_EQ(subject.waited(milliseconds{3000}), milliseconds{1000});
    for (int i = 0; i < 2000; ++i)
        subject.seen(milliseconds{800});
    EXPECT_EQ(subject.waited(milliseconds{500}), milliseconds{300});
}
