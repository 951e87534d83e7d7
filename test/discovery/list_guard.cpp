// A list that drops most upstreams is accepted only when the loss persists.
#include <skylark/discovery/list_guard.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

instance_list list_of(std::size_t count) {
    instance_list out;
    out.m_instances.resize(count);
    return out;
}

const time_point start{seconds{5}};

} // namespace

TEST(list_guard, accepts_growth_and_small_losses) {
    list_guard subject{seconds{10}};
    EXPECT_TRUE(subject.accepts(list_of(0), list_of(30), start));
    EXPECT_TRUE(subject.accepts(list_of(30), list_of(15), start));
    EXPECT_FALSE(subject.is_holding());
}

TEST(list_guard, holds_back_a_list_that_loses_most) {
    list_guard subject{seconds{10}};
    EXPECT_FALSE(subject.accepts(list_of(30), list_of(0), start));
    EXPECT_FALSE(subject.accepts(list_of(30), list_of(2), start + seconds{9}));
    EXPECT_TRUE(subject.accepts(list_of(30), list_of(2), start + seconds{10}));
}

TEST(list_guard, restarts_the_hold_after_the_list_recovers) {
    list_guard subject{seconds{10}};
    EXPECT_FALSE(subject.accepts(list_of(30), list_of(0), start));
    EXPECT_TRUE(subject.accepts(list_of(30), list_of(30), start + seconds{1}));
    EXPECT_FALSE(subject.accepts(list_of(30), list_of(0), start + seconds{11}));
}
