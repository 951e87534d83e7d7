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
        m_plan.announced({version, {}}, {by}, m_now);
    }
    void announce_elsewhere(std::uint64_t version, const address& by) {
        m_plan.announced({version, {}}, {by, false}, m_now);
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
    m_plan.referred(
        std::array{transfer_source{second}, transfer_source{third}});
    m_plan.ended(first, transfer_end::busy, m_now);
    const auto next = m_plan.next(m_now);
    ASSERT_TRUE(next);
    EXPECT_NE(*next, first);
}

TEST_F(transfer_plan_test, entries_spread_over_the_holders) {
    std::set<address> chosen;
    for (std::uint64_t self = 1; self <= 40; ++self) {
        transfer_plan subject{m_timing, self};
        subject.announced({8, {}}, {first}, m_now);
        subject.next(m_now);
        subject.referred(
            std::array{transfer_source{second}, transfer_source{third}});
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

// Traffic between zones is billed.
TEST_F(transfer_plan_test, a_source_in_the_own_zone_comes_first) {
    for (std::uint32_t i = 10; i < 20; ++i)
        announce_elsewhere(8, {i, 1});
    announce(8, first);
    EXPECT_EQ(m_plan.next(m_now), first);
}

TEST_F(transfer_plan_test, another_zone_delivers_at_once_what_only_it_has) {
    announce_elsewhere(8, first);
    EXPECT_EQ(m_plan.next(m_now), first);
}

TEST_F(transfer_plan_test, a_newer_version_of_another_zone_comes_first) {
    announce(8, first);
    announce_elsewhere(9, second);
    EXPECT_EQ(m_plan.next(m_now), second);
}

// A busy source of the own zone names others there, or has time soon.
TEST_F(transfer_plan_test, another_zone_is_no_way_around_a_busy_source) {
    announce(8, first);
    announce_elsewhere(8, second);
    ASSERT_EQ(m_plan.next(m_now), first);
    m_plan.ended(first, transfer_end::busy, m_now);
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    m_plan.referred(std::array{transfer_source{third}});
    EXPECT_EQ(m_plan.next(m_now), third);
    m_plan.ended(third, transfer_end::busy, m_now);
    pass(m_timing.m_zone_patience);
    EXPECT_TRUE(m_plan.next(m_now));
}

TEST_F(transfer_plan_test, sources_that_stay_busy_do_not_hold_a_version_up) {
    announce(8, first);
    announce_elsewhere(8, second);
    std::optional<address> from;
    for (from = m_plan.next(m_now); from != second; from = m_plan.next(m_now)) {
        ASSERT_LE(m_now - start, m_timing.m_zone_patience);
        if (from)
            m_plan.ended(*from, transfer_end::busy, m_now);
        pass(milliseconds{50});
    }
}

// The own zone's sources may all be frozen or cut off, so one stall is enough.
TEST_F(transfer_plan_test, another_zone_delivers_after_a_stall) {
    announce(8, first);
    announce_elsewhere(8, second);
    ASSERT_EQ(m_plan.next(m_now), first);
    EXPECT_EQ(m_plan.next(m_now), std::nullopt);
    pass(m_timing.m_stall_limit + milliseconds{1});
    EXPECT_EQ(m_plan.next(m_now), second);
}

TEST_F(transfer_plan_test, another_zone_delivers_after_a_failure) {
    for (const auto how : {transfer_end::failed, transfer_end::unchanged}) {
        m_plan.clear();
        announce(8, first);
        announce_elsewhere(8, second);
        ASSERT_EQ(m_plan.next(m_now), first);
        m_plan.ended(first, how, m_now);
        EXPECT_EQ(m_plan.next(m_now), second);
        m_plan.ended(second, transfer_end::delivered, m_now);
    }
}
