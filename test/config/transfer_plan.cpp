// One silent or slow source does not keep an entry from a newer version.
#include <skylark/config/transfer_plan.hpp>

#include <array>
#include <set>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};
constexpr address first{1, 1};
constexpr address second{2, 1};
constexpr address third{3, 1};

class transfer_plan_test : public testing::Test {
protected:
    void announce(std::uint64_t version, const address& by) {
        m_plan.announced({version, {}}, by, m_now);
    }
    void pass(duration time) { m_now += time; }

    transfer_timing m_timing;
    transfer_plan m_plan{m_timing, 7};
    time_point m_now{start};
};

} // namespace

TEST_F(transfer_plan_test, starts_one_transfer_for_each_version) {
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    announce(8, first);
    EXPECT_EQ(m_plan.next(m_now), first);
    announce(8, second);
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    m_plan.adopted({8, {}});
    m_plan.ended(first, transfer_end::delivered, m_now);
    EXPECT_FALSE(m_plan.pending());
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
}

TEST_F(transfer_plan_test, a_silent_source_is_overtaken_by_another_one) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    announce(8, second);
    pass(m_timing.m_stall_limit + milliseconds{1});
    EXPECT_EQ(m_plan.next(m_now), second);
}

TEST_F(transfer_plan_test, a_transfer_that_makes_progress_is_waited_for) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    announce(8, second);
    for (int i = 0; i < 20; ++i) {
        pass(m_timing.m_stall_limit / 2);
        m_plan.input_received(first, m_now);
        EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    }
}

TEST_F(transfer_plan_test, a_failed_source_comes_after_untried_ones) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    m_plan.ended(first, transfer_end::failed, m_now);
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    announce(8, second);
    EXPECT_EQ(m_plan.next(m_now), second);
    m_plan.ended(second, transfer_end::failed, m_now);
    pass(m_timing.m_failure_delay);
    EXPECT_TRUE(m_plan.next(m_now));
}

TEST_F(transfer_plan_test, a_busy_source_refers_to_holders) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    m_plan.referred(std::array{second, third});
    m_plan.ended(first, transfer_end::busy, m_now);
    const auto next = m_plan.next(m_now);
    ASSERT_TRUE(next);
    EXPECT_NE(*next, first);
}

TEST_F(transfer_plan_test, entries_spread_over_the_holders) {
    std::set<address> chosen;
    for (std::uint64_t self = 1; self <= 40; ++self) {
        transfer_plan subject{m_timing, self};
        subject.announced({8, {}}, first, m_now);
        subject.next(m_now);
        subject.referred(std::array{second, third});
        subject.ended(first, transfer_end::busy, m_now);
        chosen.insert(subject.next(m_now).value_or(first));
    }
    EXPECT_EQ(chosen, (std::set{second, third}));
}

TEST_F(transfer_plan_test, a_newer_version_is_still_fetched_after_an_older) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    pass(milliseconds{400});
    announce(9, second);
    m_plan.adopted({8, {}});
    m_plan.ended(first, transfer_end::delivered, m_now);
    EXPECT_TRUE(m_plan.pending());
    EXPECT_EQ(m_plan.pending_for(m_now), duration{0});
    EXPECT_EQ(m_plan.next(m_now), second);
}

TEST_F(transfer_plan_test, the_store_is_due_when_peers_do_not_deliver) {
    EXPECT_FALSE(m_plan.overdue(m_now));
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    pass(m_timing.m_store_delay);
    EXPECT_FALSE(m_plan.overdue(m_now));
    pass(milliseconds{1});
    EXPECT_TRUE(m_plan.overdue(m_now));
    m_plan.clear();
    EXPECT_FALSE(m_plan.overdue(m_now));
}

TEST_F(transfer_plan_test, the_store_is_due_beside_a_transfer_without_an_end) {
    announce(8, first);
    ASSERT_EQ(m_plan.next(m_now), first);
    const time_point limit = start + m_timing.m_store_delay_in_progress;
    while (m_now + milliseconds{100} <= limit) {
        pass(milliseconds{100});
        m_plan.input_received(first, m_now);
        EXPECT_FALSE(m_plan.overdue(m_now));
    }
    pass(milliseconds{100});
    m_plan.input_received(first, m_now);
    EXPECT_TRUE(m_plan.overdue(m_now));
}
