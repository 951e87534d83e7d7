// The removal of a record is delayed only where its owner may be alive.
#include <skylark/discovery/lapse_window.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr lapse_timing timing;
const time_point start{seconds{100}};
constexpr auto moment = milliseconds{1};

lapse_window answered_at(time_point when) {
    lapse_window out{timing};
    out.call_succeeded(when);
    return out;
}

} // namespace

TEST(lapse_window, is_closed_before_and_after_the_first_answer) {
    lapse_window subject{timing};
    EXPECT_FALSE(subject.removal_due(start));
    subject.call_succeeded(start);
    EXPECT_FALSE(subject.removal_due(start));
}

TEST(lapse_window, stays_closed_after_a_break_shorter_than_an_interval) {
    lapse_window subject = answered_at(start);
    subject.call_failed();
    const time_point next = start + timing.m_renewal_interval - moment;
    subject.call_succeeded(next);
    EXPECT_FALSE(subject.removal_due(next));
}

TEST(lapse_window, opens_after_an_outage) {
    lapse_window subject = answered_at(start);
    subject.call_failed();
    const time_point next = start + timing.m_renewal_interval;
    subject.call_succeeded(next);
    EXPECT_EQ(subject.removal_due(next), next + timing.m_rewrite_time);
    EXPECT_FALSE(subject.removal_due(next + timing.m_rewrite_time));
}

// Its calls fail, but the store serves the entries that replaced it.
TEST(lapse_window, stays_closed_while_the_store_answers_other_entries) {
    lapse_window subject = answered_at(start);
    subject.call_failed();
    subject.confirmed(start + seconds{9});
    subject.call_succeeded(start + seconds{10});
    EXPECT_FALSE(subject.removal_due(start + seconds{10}));
}

TEST(lapse_window, ignores_late_news_of_an_earlier_answer) {
    lapse_window subject = answered_at(start);
    subject.call_failed();
    subject.confirmed(start - seconds{5});
    subject.call_succeeded(start + timing.m_renewal_interval);
    EXPECT_TRUE(subject.removal_due(start + timing.m_renewal_interval));
}

// The time that it takes to replace watchers whose calls hang is no outage.
TEST(lapse_window, stays_closed_when_another_entry_takes_over_the_watch) {
    lapse_window subject = answered_at(start);
    const time_point next = start + 2 * timing.m_renewal_interval - moment;
    subject.call_succeeded(next);
    EXPECT_FALSE(subject.removal_due(next));
}

TEST(lapse_window, opens_after_a_silence_of_the_store_for_all_entries) {
    lapse_window subject = answered_at(start);
    const time_point next = start + 2 * timing.m_renewal_interval;
    subject.call_succeeded(next);
    EXPECT_TRUE(subject.removal_due(next));
}

TEST(lapse_window, bounds_the_delay_of_removals_made_after_the_outage) {
    lapse_window subject = answered_at(start);
    subject.call_failed();
    const time_point next = start + seconds{10};
    subject.call_succeeded(next);
    subject.caught_up();
    EXPECT_EQ(subject.removal_due(next + moment),
              next + moment + timing.m_longest_delay);
    const time_point late = next + timing.m_rewrite_time - moment;
    EXPECT_EQ(subject.removal_due(late), next + timing.m_rewrite_time);
}
