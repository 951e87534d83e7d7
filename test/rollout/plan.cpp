// Plan: shares of the stages, records, canaries.
#include <skylark/rollout/plan.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr duration total = seconds{60};
constexpr auto undecided = rollout_verdict::undecided;

write_facts facts(rollout_stage stage, rollout_verdict verdict, int second,
                  bool drained = false) {
    return {stage, verdict, {seconds{second}, total}, drained};
}

} // namespace

TEST(plan_traffic, the_canary_pauses_above_its_share) {
    exposure sums;
    sums.m_requests = 1000;
    sums.m_target_requests = 100;
    const rollout_times times{seconds{10}, total};
    EXPECT_GT(plan_traffic(rollout_stage::canary, undecided, sums, times)
                  .m_target_share,
              0.0);
    sums.m_target_requests = 111;
    EXPECT_EQ(plan_traffic(rollout_stage::canary, undecided, sums, times)
                  .m_target_share,
              0.0);
}

// Requests after the deadline are not part of the sum that the share is of.
TEST(plan_traffic, the_canary_ends_at_the_deadline) {
    EXPECT_FALSE(
        plan_traffic(rollout_stage::canary, undecided, {}, {total, total})
            .m_target_allowed);
}

TEST(plan_traffic, a_bad_version_gets_nothing_even_without_a_record) {
    for (const auto stage : {rollout_stage::ordered, rollout_stage::canary,
                             rollout_stage::promoted}) {
        const auto plan =
            plan_traffic(stage, rollout_verdict::bad, {}, {seconds{9}, total});
        EXPECT_FALSE(plan.m_target_allowed);
        EXPECT_TRUE(plan.m_earlier_allowed);
    }
}

// The operators stop the earlier version when they read "completed".
TEST(plan_traffic, completed_excludes_the_earlier_version_in_any_case) {
    const auto plan =
        plan_traffic(rollout_stage::completed, rollout_verdict::bad, {},
                     {seconds{9}, total});
    EXPECT_FALSE(plan.m_earlier_allowed);
    EXPECT_TRUE(plan.m_target_allowed);
}

// Overflow to the earlier version would keep it from ever being drained.
TEST(plan_traffic, promoted_closes_the_earlier_version_in_time) {
    const auto at = [](int second) {
        return plan_traffic(rollout_stage::promoted, rollout_verdict::good, {},
                            {seconds{second}, total});
    };
    EXPECT_TRUE(at(40).m_earlier_allowed);
    EXPECT_FALSE(at(48).m_earlier_allowed);
    EXPECT_EQ(at(40).m_target_share, 1.0);
}

TEST(plan_write, records_each_stage_in_turn) {
    using enum rollout_stage;
    EXPECT_EQ(plan_write(facts(ordered, undecided, 0)), canary);
    EXPECT_EQ(plan_write(facts(canary, undecided, 20)), std::nullopt);
    EXPECT_EQ(plan_write(facts(canary, rollout_verdict::good, 36)), promoted);
    EXPECT_EQ(plan_write(facts(promoted, rollout_verdict::good, 40)),
              std::nullopt);
    EXPECT_EQ(plan_write(facts(promoted, rollout_verdict::good, 50, true)),
              completed);
    EXPECT_EQ(plan_write(facts(completed, rollout_verdict::bad, 50)),
              std::nullopt);
}

// The deadline counts more than the last requests of the earlier version.
TEST(plan_write, a_good_version_is_completed_before_the_deadline) {
    using enum rollout_stage;
    EXPECT_EQ(plan_write(facts(promoted, rollout_verdict::good, 58)),
              completed);
    EXPECT_EQ(plan_write(facts(canary, rollout_verdict::good, 58)), completed);
    EXPECT_EQ(plan_write(facts(canary, undecided, 58)), rolled_back);
}

TEST(plan_write, a_bad_version_is_rolled_back_from_each_stage) {
    using enum rollout_stage;
    for (const auto stage : {ordered, canary, promoted})
        EXPECT_EQ(plan_write(facts(stage, rollout_verdict::bad, 30)),
                  rolled_back);
}

// All upstreams of the new version may be lost after it was promoted.
TEST(plan_write, a_version_without_upstreams_is_never_completed) {
    using enum rollout_stage;
    write_facts lost = facts(promoted, rollout_verdict::good, 50, true);
    lost.m_target_usable = false;
    EXPECT_EQ(plan_write(lost), std::nullopt);
    lost.m_times.m_elapsed = seconds{58};
    EXPECT_EQ(plan_write(lost), rolled_back);
    lost.m_stage = canary;
    EXPECT_EQ(plan_write(lost), rolled_back);
    lost.m_times.m_elapsed = seconds{40};
    EXPECT_EQ(plan_write(lost), std::nullopt);
    // The status tells the operators that the order was seen.
    lost.m_stage = ordered;
    lost.m_verdict = undecided;
    EXPECT_EQ(plan_write(lost), canary);
}

// Each canary gets the load of an ordinary upstream: 0.08 of 25 is 2 of them.
TEST(canaries, are_as_many_as_their_share_fills) {
    EXPECT_EQ(canary_count(25, 25), 2U);
    EXPECT_EQ(canary_count(4, 4), 1U);
    EXPECT_EQ(canary_count(100, 3), 3U);
    EXPECT_EQ(canary_count(10, 0), 0U);
}

// Entries list upstreams in different orders.
TEST(canaries, are_the_same_for_all_entries) {
    const std::vector<upstream_id> one{upstream_id{1}, upstream_id{2},
                                       upstream_id{3}};
    const std::vector<upstream_id> other{upstream_id{3}, upstream_id{1},
                                         upstream_id{2}};
    EXPECT_EQ(choose_canaries(7, one, 2), choose_canaries(7, other, 2));
    EXPECT_EQ(choose_canaries(7, one, 2).size(), 2U);
}
