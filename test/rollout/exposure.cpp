// Sums of exposures: duplicate and late reports, members that died, routes.
#include <skylark/rollout/ledger.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr reporter first{entry_id{1}, 10};
constexpr reporter second{entry_id{2}, 10};

exposure counted(std::uint64_t sequence, std::uint64_t requests) {
    exposure out;
    out.m_order = 7;
    out.m_sequence = sequence;
    out.m_requests = requests;
    out.on_route(3).m_target.m_responses = requests;
    return out;
}

} // namespace

// A datagram that arrives twice must not count twice.
TEST(exposure_ledger, a_duplicate_report_counts_once) {
    exposure_ledger subject;
    subject.report(first, counted(1, 5));
    subject.report(first, counted(1, 5));
    EXPECT_EQ(subject.total().m_requests, 5U);
    EXPECT_EQ(subject.total().target_responses(), 5U);
}

// A datagram that was overtaken must not take counts back.
TEST(exposure_ledger, a_late_report_changes_nothing) {
    exposure_ledger subject;
    subject.report(first, counted(4, 9));
    subject.report(first, counted(3, 5));
    EXPECT_EQ(subject.total().m_requests, 9U);
}

// A restarted entry counts from zero; what it sent before has reached the
// versions all the same.
TEST(exposure_ledger, a_new_incarnation_adds_to_the_earlier_one) {
    exposure_ledger subject;
    subject.report(first, counted(9, 9));
    subject.report({first.m_id, 11}, counted(1, 2));
    subject.report(second, counted(1, 1));
    EXPECT_EQ(subject.total().m_requests, 12U);
}

// An entry that hears only its relay's sum must not lose counts when the relay
// changes to one that knows less.
TEST(exposure_ledger, a_smaller_sum_of_another_relay_does_not_lower_the_total) {
    exposure_ledger subject;
    subject.report(first, counted(1, 2));
    subject.sum_report(counted(0, 100));
    subject.sum_report(counted(0, 60));
    EXPECT_EQ(subject.total().m_requests, 100U);
}

TEST(exposure, routes_stay_sorted_and_unique) {
    exposure subject;
    for (const std::uint32_t route : {5U, 1U, 3U, 5U, 1U})
        ++subject.on_route(route).m_earlier.m_responses;
    ASSERT_EQ(subject.m_routes.size(), 3U);
    EXPECT_EQ(subject.m_routes[0].m_route, 1U);
    EXPECT_EQ(subject.m_routes[2].m_earlier.m_responses, 2U);
    EXPECT_EQ(subject.find_route(4), nullptr);
}

// A mean of two responses would make every third one slow.
TEST(exposure, few_times_are_no_reference) {
    exposure subject;
    version_counts& earlier = subject.on_route(1).m_earlier;
    earlier.m_timed = 7;
    earlier.m_time_us = 7000;
    EXPECT_EQ(earlier_time(subject, 1), duration{0});
    EXPECT_FALSE(is_slow(seconds{1}, duration{0}));
    earlier.m_timed = 10;
    earlier.m_time_us = 10000;
    EXPECT_EQ(earlier_time(subject, 1), milliseconds{1});
    EXPECT_FALSE(is_slow(milliseconds{4}, milliseconds{1}));
    EXPECT_TRUE(is_slow(milliseconds{5}, milliseconds{1}));
}

// An order that is repeated after a rollback is another one.
TEST(exposure, keys_differ_by_service_version_and_order) {
    const rollout_order order{"stock", "v2", seconds{30}, 5};
    EXPECT_EQ(order_key(order), order_key(order));
    EXPECT_NE(order_key(order), order_key({"book", "v2", seconds{30}, 5}));
    EXPECT_NE(order_key(order), order_key({"stock", "v3", seconds{30}, 5}));
    EXPECT_NE(order_key(order), order_key({"stock", "v2", seconds{30}, 6}));
}
