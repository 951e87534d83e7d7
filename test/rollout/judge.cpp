// Judgement: versions that are good, bad, bad late and bad on one route.
#include <skylark/rollout/judge.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr duration total = seconds{60};

// Adds a second of traffic on a route, 1 target response to 10 earlier ones.
void second_of(exposure& sums, std::uint32_t route, std::uint64_t target,
               std::uint64_t failures, std::uint64_t slow = 0) {
    route_exposure& here = sums.on_route(route);
    here.m_target.m_responses += target;
    here.m_target.m_failures += failures;
    here.m_target.m_slow += slow;
    here.m_earlier.m_responses += 10 * target;
    sums.m_requests += 11 * target;
    sums.m_target_requests += target;
    if (failures + slow > 0)
        sums.m_bad_upstreams |= 0b11;
}

time_point at(int second) {
    return time_point{} + seconds{second};
}

rollout_verdict step(rollout_judge& of, const exposure& sums, int second) {
    return of.judge(sums, {seconds{second}, total}, at(second));
}

} // namespace

TEST(rollout_judge, a_version_that_is_bad_from_the_start_is_found_at_once) {
    rollout_judge subject;
    exposure sums;
    second_of(sums, 1, 20, 10);
    EXPECT_EQ(step(subject, sums, 1), rollout_verdict::bad);
}

TEST(rollout_judge, slow_responses_count_like_failures) {
    rollout_judge subject;
    exposure sums;
    second_of(sums, 1, 20, 0, 10);
    EXPECT_EQ(step(subject, sums, 1), rollout_verdict::bad);
}

TEST(rollout_judge, a_good_version_is_good_at_six_tenths_and_not_before) {
    rollout_judge subject;
    exposure sums;
    for (int i = 1; i < 36; ++i) {
        second_of(sums, 1, 20, 0);
        EXPECT_EQ(step(subject, sums, i), rollout_verdict::undecided) << i;
    }
    second_of(sums, 1, 20, 0);
    EXPECT_EQ(step(subject, sums, 36), rollout_verdict::good);
}

// Thousands of good responses must not hide what happens now: 50 bad ones are
// allowed.
TEST(rollout_judge, a_version_that_becomes_bad_late_is_found_within_50) {
    rollout_judge subject;
    exposure sums;
    int second = 1;
    for (; second < 40; ++second) {
        second_of(sums, 1, 1000, 0);
        ASSERT_NE(step(subject, sums, second), rollout_verdict::bad);
    }
    std::uint64_t bad = 0;
    while (step(subject, sums, ++second) != rollout_verdict::bad) {
        bad += 10;
        ASSERT_LE(bad, 50U);
        second_of(sums, 1, 30, 10);
    }
}

// One route with a tenth of the traffic; the others are fine.
TEST(rollout_judge, a_version_that_is_bad_on_one_route_is_found) {
    rollout_judge subject;
    exposure sums;
    std::uint64_t bad = 0;
    int second = 1;
    second_of(sums, 1, 600, 0);
    while (step(subject, sums, ++second) != rollout_verdict::bad) {
        bad += 2;
        ASSERT_LE(bad, 50U);
        second_of(sums, 1, 60, 0);
        second_of(sums, 2, 6, 2);
    }
}

// Both versions suffer alike from the network or from overload.
TEST(rollout_judge, failures_of_both_versions_are_not_the_target_s) {
    rollout_judge subject;
    exposure sums;
    for (int i = 1; i < 40; ++i) {
        second_of(sums, 1, 20, 2);
        sums.on_route(1).m_earlier.m_failures += 20;
        ASSERT_NE(step(subject, sums, i), rollout_verdict::bad) << i;
    }
}

// An upstream that is stopped fails all its requests; its version may be good.
TEST(rollout_judge, failures_of_a_single_upstream_are_tolerated_up_to_30) {
    exposure sums;
    second_of(sums, 1, 60, 12);
    sums.m_bad_upstreams = 0b100;
    EXPECT_FALSE(shows_bad(sums));
    sums.m_bad_upstreams = 0b101;
    EXPECT_TRUE(shows_bad(sums));
    sums.m_bad_upstreams = 0b100;
    second_of(sums, 1, 30, 18);
    sums.m_bad_upstreams = 0b100;
    EXPECT_TRUE(shows_bad(sums));
}

TEST(rollout_judge, another_entry_s_finding_is_taken_over_and_stays) {
    rollout_judge subject;
    exposure sums;
    sums.m_bad = true;
    EXPECT_EQ(step(subject, sums, 1), rollout_verdict::bad);
    sums.m_bad = false;
    EXPECT_EQ(step(subject, sums, 2), rollout_verdict::bad);
}

// A version that was hardly tried on a route is not known to be good there.
TEST(rollout_judge, a_route_without_responses_delays_good) {
    rollout_judge subject;
    exposure sums;
    second_of(sums, 1, 100, 0);
    sums.on_route(2).m_earlier.m_responses = 1000;
    EXPECT_EQ(step(subject, sums, 40), rollout_verdict::undecided);
    EXPECT_EQ(step(subject, sums, 51), rollout_verdict::good);
}

// Its upstreams never became usable, or had no room.
TEST(rollout_judge, a_version_that_never_responded_is_not_good) {
    rollout_judge subject;
    exposure sums;
    sums.m_requests = 1000;
    EXPECT_EQ(step(subject, sums, 59), rollout_verdict::undecided);
}
