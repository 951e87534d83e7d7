// Whether an upstream may be used, by what it has said.
#include <skylark/load/availability.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {
constexpr time_point start{seconds{1000}};
} // namespace

TEST(availability, an_upstream_that_said_nothing_is_usable) {
    const availability of;
    EXPECT_TRUE(of.usable(start));
    EXPECT_FALSE(of.leaving());
    EXPECT_LE(of.usable_from(), start);
}

TEST(availability, leaving_is_for_good) {
    availability of;
    EXPECT_TRUE(of.leave());
    EXPECT_FALSE(of.leave()) << "no news";
    EXPECT_TRUE(of.leaving());
    EXPECT_FALSE(of.usable(start));
    EXPECT_FALSE(of.usable(start + std::chrono::hours{1000}));
}

TEST(availability, a_rest_ends_exactly_when_its_time_is_over) {
    availability of;
    EXPECT_TRUE(of.rest(start, milliseconds{1500}));
    EXPECT_FALSE(of.usable(start));
    EXPECT_FALSE(of.usable(start + microseconds{1499999}));
    EXPECT_TRUE(of.usable(start + milliseconds{1500}));
    EXPECT_EQ(of.usable_from(), start + milliseconds{1500});
}

TEST(availability, a_shorter_rest_does_not_end_a_longer_one) {
    availability of;
    of.rest(start, seconds{2});
    EXPECT_FALSE(of.rest(start + milliseconds{10}, milliseconds{1}));
    EXPECT_FALSE(of.rest(start + milliseconds{10}, duration{0}));
    EXPECT_FALSE(of.usable(start + milliseconds{1999}));
}

TEST(availability, a_longer_rest_extends_a_shorter_one) {
    availability of;
    of.rest(start, seconds{1});
    EXPECT_TRUE(of.rest(start + milliseconds{900}, seconds{1}));
    EXPECT_FALSE(of.usable(start + milliseconds{1899}));
    EXPECT_TRUE(of.usable(start + milliseconds{1900}));
}

TEST(availability, refusals_of_one_burst_are_one_piece_of_news) {
    availability of;
    EXPECT_TRUE(of.rest(start, seconds{1}));
    for (int i = 1; i <= 5; ++i)
        EXPECT_FALSE(of.rest(start + milliseconds{i}, seconds{1}));
    EXPECT_FALSE(of.usable(start + milliseconds{1004}));
}

TEST(availability, a_rest_of_no_length_is_none) {
    availability of;
    EXPECT_FALSE(of.rest(start, duration{0}));
    EXPECT_TRUE(of.usable(start));
}

TEST(availability, a_huge_rest_is_cut) {
    availability of;
    EXPECT_TRUE(of.rest(start, duration::max()));
    EXPECT_FALSE(of.usable(start));
    EXPECT_TRUE(of.usable(start + availability::max_rest));
}

TEST(availability, a_rest_does_not_take_a_leave_back) {
    availability of;
    of.leave();
    of.rest(start, seconds{1});
    EXPECT_FALSE(of.usable(start + seconds{2}));
}
