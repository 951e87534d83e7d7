// How much leaves a zone under different loads, in virtual time with many
// entries that know only their own probes.
#include <skylark/route/zone_share.hpp>

#include <gtest/gtest.h>

#include "test/route/fake_zones.hpp"

using namespace skylark;
using skylark::test::fake_zones;

namespace {

struct fleet_case {
    std::size_t m_entries;
    bool m_far;
};

// The first zone is the one with trouble.
class zone_share_fleet : public testing::TestWithParam<fleet_case> {
protected:
    static fake_zones::shape shape() {
        fake_zones::shape out;
        out.m_entries = GetParam().m_entries;
        if (GetParam().m_far) {
            out.m_round_trip = milliseconds{9};
            out.m_step = milliseconds{27};
        }
        return out;
    }
    fake_zones m_zones{shape()};
};

// An entry sends less than three requests a second and knows little of other
// zones; what costs requests has to work all the same.
class zone_share_large_fleet : public zone_share_fleet {};

} // namespace

TEST_P(zone_share_fleet, nothing_leaves_a_zone_with_room) {
    m_zones.run(seconds{20});
    EXPECT_LE(m_zones.highest_share(), 0.02);
    EXPECT_LE(m_zones.sent_away(0), 0.05);
}

// Load: all upstreams of the zone gone, the others can bear it.
TEST_P(zone_share_fleet, a_lost_zone_is_left_directly) {
    m_zones.set_demand(0.7);
    m_zones.run(seconds{5});
    m_zones.keep_alive(0, 0);
    m_zones.run(seconds{5});
    EXPECT_LE(m_zones.refused(0), 0.15); // from the first moment on
    m_zones.run(seconds{5});
    EXPECT_LE(m_zones.refused(0), 0.1);
    EXPECT_GE(m_zones.lowest_share(), 0.6);
    m_zones.keep_alive(0, fake_zones::per_zone);
    m_zones.run(seconds{5});
    m_zones.run(seconds{10});
    EXPECT_LE(m_zones.sent_away(0), 0.06);
}

// Load: four of nine upstreams left. What they can bear stays.
TEST_P(zone_share_fleet, only_the_excess_leaves_a_zone_with_too_little_room) {
    constexpr std::size_t left = 4;
    m_zones.run(seconds{5});
    m_zones.keep_alive(0, left);
    m_zones.run(seconds{10});
    m_zones.run(seconds{15});
    EXPECT_GE(m_zones.used(0), 0.7 * left * fake_zones::slots);
    EXPECT_LE(m_zones.refused(0), 0.12);
    // All entries see the same and do not swing together.
    EXPECT_LE(m_zones.highest_share() - m_zones.lowest_share(), 0.3);
}

// Load: 1.8 times the slots of all zones. Crossing gains nothing then.
TEST_P(zone_share_fleet, full_zones_do_not_exchange_their_requests) {
    m_zones.set_demand(2.6);
    m_zones.run(seconds{5});
    m_zones.run(seconds{15});
    for (std::size_t zone = 0; zone < fake_zones::zone_count; ++zone) {
        EXPECT_LE(m_zones.sent_away(zone), 0.08);
        EXPECT_GE(m_zones.used(zone),
                  0.9 * fake_zones::per_zone * fake_zones::slots);
    }
}

// Load: a partition, and too little room in the zone that is cut off.
TEST_P(zone_share_fleet, zones_that_do_not_answer_are_not_tried_by_each) {
    m_zones.keep_alive(0, 4);
    m_zones.cut_off(0, true);
    m_zones.run(seconds{5});
    m_zones.run(seconds{10});
    const double away = m_zones.of(0).m_probes_away / m_zones.of(0).m_requests;
    EXPECT_LE(away, 0.6);
    EXPECT_LE(m_zones.highest_share(), 0.15);
    m_zones.cut_off(0, false);
    m_zones.run(seconds{5});
    m_zones.run(seconds{5});
    EXPECT_GE(m_zones.sent_away(0), 0.2);
    EXPECT_LE(m_zones.refused(0), 0.15);
}

TEST_P(zone_share_large_fleet, nothing_leaves_a_zone_with_room) {
    m_zones.run(seconds{20});
    EXPECT_LE(m_zones.highest_share(), 0.02);
    EXPECT_LE(m_zones.sent_away(0), 0.05);
}

TEST_P(zone_share_large_fleet, a_lost_zone_costs_few_requests) {
    m_zones.set_demand(0.7);
    m_zones.run(seconds{5});
    m_zones.keep_alive(0, 0);
    m_zones.run(seconds{5});
    EXPECT_LE(m_zones.refused(0), 0.15); // from the first moment on
    m_zones.run(seconds{5});
    EXPECT_LE(m_zones.refused(0), 0.1);
    m_zones.keep_alive(0, fake_zones::per_zone);
    m_zones.run(seconds{10});
    m_zones.run(seconds{10});
    EXPECT_LE(m_zones.sent_away(0), 0.06);
}

TEST_P(zone_share_large_fleet, a_zone_with_too_little_room_is_used) {
    constexpr std::size_t left = 4;
    m_zones.run(seconds{5});
    m_zones.keep_alive(0, left);
    m_zones.run(seconds{10});
    m_zones.run(seconds{15});
    EXPECT_GE(m_zones.used(0), 0.7 * left * fake_zones::slots);
    EXPECT_LE(m_zones.refused(0), 0.12);
    EXPECT_LE(m_zones.highest_share() - m_zones.lowest_share(), 0.3);
}

INSTANTIATE_TEST_SUITE_P(fleets, zone_share_fleet,
                         testing::Values(fleet_case{14, false},
                                         fleet_case{14, true},
                                         fleet_case{117, false},
                                         fleet_case{117, true}));
INSTANTIATE_TEST_SUITE_P(fleets, zone_share_large_fleet,
                         testing::Values(fleet_case{313, false},
                                         fleet_case{313, true},
                                         fleet_case{1000, false},
                                         fleet_case{1000, true}));

TEST(zone_share, a_higher_price_keeps_more_requests) {
    double before = 1.0;
    for (const duration price :
         {milliseconds{1}, milliseconds{60}, milliseconds{600}}) {
        fake_zones::shape shape;
        shape.m_price = price;
        fake_zones subject{shape};
        subject.keep_alive(0, 4);
        subject.run(seconds{10});
        subject.run(seconds{10});
        EXPECT_LT(subject.highest_share(), before) << price.count();
        before = subject.highest_share();
    }
}

TEST(zone_share, a_zone_that_serves_only_this_one_badly_is_not_used) {
    zone_share subject{"a"};
    const time_point now{seconds{100}};
    for (int i = 0; i < 20; ++i) {
        subject.answered("a", now, false);
        subject.answered("b", now, true);
        subject.answered("c", now, i % 10 == 0);
    }
    const std::vector<zone_distance> others{
        {"b", milliseconds{8}, milliseconds{1}},
        {"c", milliseconds{8}, milliseconds{1}}};
    subject.update(now, {milliseconds{10}, milliseconds{250}, milliseconds{8}},
                   others);
    EXPECT_TRUE(subject.open("b"));
    EXPECT_FALSE(subject.open("c"));
}

TEST(zone_share, names_of_zones_take_bounded_memory) {
    zone_share subject{"a"};
    const time_point now{seconds{100}};
    for (int i = 0; i < 1000; ++i)
        subject.unanswered("z" + std::to_string(i), now);
    EXPECT_DOUBLE_EQ(subject.own_room(now), 1.0);
}

// Load: evacuation, while the other zones are nearly full. Nothing is known of
// the own zone then, and it must not count as one with room.
TEST(zone_share, a_zone_without_usable_upstreams_is_left) {
    zone_share subject{"a"};
    time_point now{seconds{100}};
    const std::vector<zone_distance> others{
        {"b", milliseconds{8}, milliseconds{1}}};
    for (int i = 0; i < 400; ++i, now += milliseconds{10}) {
        subject.answered("b", now, i % 6 == 0);
        subject.update(
            now, {milliseconds{10}, milliseconds{250}, milliseconds{8}, false},
            others);
        EXPECT_TRUE(subject.open("b"));
    }
}

// One line is logged for each change.
TEST(zone_share, small_changes_of_the_share_do_not_change_the_state) {
    zone_share subject{"a"};
    time_point now{seconds{100}};
    const std::vector<zone_distance> others{
        {"b", milliseconds{8}, milliseconds{1}}};
    int changes = 0;
    bool before = false;
    for (int i = 0; i < 4000; ++i, now += milliseconds{10}) {
        // Room that comes and goes every 50 ms.
        subject.answered("a", now, i % 10 == 0);
        subject.update(now,
                       {milliseconds{10}, milliseconds{250}, milliseconds{8}},
                       others);
        changes += subject.leaving() != before ? 1 : 0;
        before = subject.leaving();
    }
    EXPECT_LE(changes, 2);
}
