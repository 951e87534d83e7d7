// Which requests a leaving entry still passes on, and when it ends.
#include <skylark/limit/drain_schedule.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};
constexpr drain_schedule schedule{
    start, {start, start}, milliseconds{2400}, milliseconds{5500}};

} // namespace

// The load: one request each millisecond, of each deadline, until the end.
TEST(drain_schedule, what_is_passed_on_has_its_deadline_before_the_end) {
    for (const auto wait : {milliseconds{250}, milliseconds{1000},
                            milliseconds{5000}, milliseconds{8000}})
        for (duration at{0}; at < seconds{6}; at += milliseconds{1}) {
            const time_point deadline = start + at + wait;
            if (schedule.may_pass_on(deadline)) {
                EXPECT_FALSE(schedule.expired(deadline));
            }
        }
}

TEST(drain_schedule, short_requests_are_passed_on_for_most_of_the_time) {
    EXPECT_TRUE(schedule.may_pass_on(start + seconds{4} + seconds{1}));
    EXPECT_FALSE(schedule.may_pass_on(start + seconds{5} + seconds{1}));
}

TEST(drain_schedule, long_requests_are_refused_from_the_beginning) {
    EXPECT_FALSE(schedule.may_pass_on(start + seconds{8}));
}

TEST(drain_schedule, ends_only_after_its_address_is_no_longer_named) {
    EXPECT_FALSE(schedule.quiet(start + seconds{1}, true, seconds{1}));
    EXPECT_FALSE(schedule.quiet(start + seconds{3}, false, seconds{1}));
    EXPECT_FALSE(schedule.quiet(start + seconds{3}, true, milliseconds{10}));
    EXPECT_TRUE(schedule.quiet(start + seconds{3}, true, seconds{1}));
}

TEST(drain_schedule, closes_connections_before_the_limit) {
    EXPECT_FALSE(schedule.must_close(start + seconds{5}));
    EXPECT_TRUE(schedule.must_close(start + milliseconds{5450}));
    EXPECT_FALSE(schedule.expired(start + milliseconds{5450}));
}

TEST(drain_schedule, a_long_pause_leaves_time_for_what_became_ready) {
    const time_point thawed = start + seconds{7};
    const drain_schedule late{
        thawed, {start, start}, milliseconds{2400}, milliseconds{5500}};
    EXPECT_FALSE(late.must_close(thawed));
    EXPECT_FALSE(late.may_pass_on(thawed + seconds{1}));
    EXPECT_TRUE(late.expired(thawed + milliseconds{500}));
}

TEST(drain_schedule, ends_at_the_limit_whatever_is_in_progress) {
    EXPECT_FALSE(schedule.expired(start + milliseconds{5499}));
    EXPECT_TRUE(schedule.expired(start + milliseconds{5500}));
}

TEST(drain_schedule, a_stall_before_the_signal_cuts_nothing_in_progress) {
    const time_point signalled = start + milliseconds{1300};
    const drain_schedule stalled{
        signalled, {start, signalled}, milliseconds{2400}, milliseconds{5500}};
    EXPECT_FALSE(stalled.expired(signalled + milliseconds{5499}));
    EXPECT_FALSE(stalled.may_end(signalled + milliseconds{5499},
                                 signalled + milliseconds{5495}));
    EXPECT_TRUE(stalled.expired(signalled + milliseconds{5500}));
}

TEST(drain_schedule,
     a_freeze_counts_from_its_begin_but_for_what_is_in_progress) {
    const time_point thawed = start + milliseconds{1300};
    const drain_schedule frozen{
        thawed, {start, thawed}, milliseconds{2400}, milliseconds{5500}};
    EXPECT_TRUE(frozen.may_pass_on(start + milliseconds{5400}));
    EXPECT_FALSE(frozen.may_pass_on(start + milliseconds{5401}));
    EXPECT_TRUE(frozen.must_close(start + milliseconds{5400}));
    EXPECT_FALSE(frozen.may_end(start + milliseconds{5499}, start));
    EXPECT_TRUE(frozen.may_end(start + milliseconds{5500}, start));
    // What ended just now is still being delivered.
    EXPECT_FALSE(
        frozen.may_end(start + milliseconds{6000}, start + milliseconds{5950}));
    EXPECT_TRUE(
        frozen.may_end(start + milliseconds{6050}, start + milliseconds{5950}));
}

TEST(drain_schedule, ends_sooner_by_the_time_of_a_hold_up) {
    const drain_schedule known{start,
                               {start, start},
                               milliseconds{2400},
                               milliseconds{5500},
                               seconds{2}};
    drain_schedule met = schedule;
    met.held_up(start + seconds{2}, seconds{2});
    for (const drain_schedule& held_up : {known, met}) {
        EXPECT_TRUE(held_up.may_pass_on(start + milliseconds{3400}));
        EXPECT_FALSE(held_up.may_pass_on(start + milliseconds{3401}));
        EXPECT_TRUE(held_up.must_close(start + milliseconds{3400}));
        EXPECT_TRUE(held_up.may_end(start + milliseconds{3500}, start));
        EXPECT_FALSE(held_up.may_end(start + milliseconds{3500},
                                     start + milliseconds{3450}));
        EXPECT_FALSE(held_up.expired(start + milliseconds{5499}));
    }
    met.held_up(start + seconds{3}, seconds{1});
    EXPECT_FALSE(met.may_pass_on(start + milliseconds{3401}));
}

TEST(drain_schedule, a_late_hold_up_leaves_time_for_what_became_ready) {
    drain_schedule met = schedule;
    met.held_up(start + milliseconds{4500}, seconds{2});
    EXPECT_FALSE(met.must_close(start + milliseconds{4599}));
    EXPECT_TRUE(met.must_close(start + milliseconds{4600}));
    EXPECT_FALSE(met.may_end(start + milliseconds{4699}, start));
    EXPECT_TRUE(met.may_end(start + milliseconds{4700}, start));
}

TEST(drain_schedule, a_long_hold_up_leaves_the_time_for_which_it_is_named) {
    const drain_schedule held_up{start,
                                 {start, start},
                                 milliseconds{2400},
                                 milliseconds{5500},
                                 seconds{20}};
    EXPECT_FALSE(held_up.must_close(start + milliseconds{2400}));
    EXPECT_TRUE(held_up.must_close(start + milliseconds{2700}));
    const drain_schedule brief{start,
                               {start, start},
                               milliseconds{2400},
                               milliseconds{1000},
                               seconds{20}};
    EXPECT_FALSE(brief.must_close(start + milliseconds{899}));
    EXPECT_TRUE(brief.must_close(start + milliseconds{900}));
}

TEST(signal_span, only_a_pause_hides_when_a_signal_was_sent) {
    const time_point now = start + seconds{3};
    const auto known = signal_span::around(now - seconds{1}, now, duration{0});
    EXPECT_EQ(known.m_earliest, now - seconds{1});
    EXPECT_EQ(known.m_latest, now - seconds{1});
    const auto within = signal_span::around(now, now, seconds{2});
    EXPECT_EQ(within.m_earliest, now - seconds{2});
    EXPECT_EQ(within.m_latest, now);
    const auto before = signal_span::around(start, now, seconds{2});
    EXPECT_EQ(before.m_earliest, start);
    EXPECT_EQ(before.m_latest, start);
}
