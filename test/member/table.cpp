// Member table: removal by majority, and lapse of members without a majority.
#include <skylark/member/table.hpp>

#include <gtest/gtest.h>

#include "test/member/fake_fleet.hpp"

using namespace skylark;
using skylark::test::fake_fleet;

namespace {

std::size_t view_size(fake_fleet& fleet, std::size_t index) {
    return fleet.at(index).m_table.view().size();
}

bool active(fake_fleet& fleet, std::size_t index) {
    return fleet.at(index).m_table.state() == member_state::active;
}

} // namespace

TEST(member_table, all_members_discover_each_other) {
    fake_fleet fleet{16, 1};
    fleet.run(seconds{2});
    for (std::size_t i = 1; i <= 16; ++i) {
        EXPECT_EQ(view_size(fleet, i), 16U) << i;
        EXPECT_TRUE(active(fleet, i)) << i;
        EXPECT_TRUE(fleet.at(i).m_table.agreed(fleet.local_time(fleet.at(i))));
    }
}

TEST(member_table, a_dead_member_is_removed_after_the_hold_down) {
    fake_fleet fleet{5, 2};
    fleet.run(seconds{2});
    fleet.kill(3);
    fleet.run(milliseconds{1900});
    EXPECT_EQ(view_size(fleet, 1), 5U) << "not before the hold-down";
    fleet.run(milliseconds{1500});
    EXPECT_EQ(view_size(fleet, 1), 4U);
}

TEST(member_table, one_cut_link_removes_nobody) {
    fake_fleet fleet{5, 3};
    fleet.run(seconds{2});
    fleet.cut(1, 2, true);
    fleet.cut(2, 1, true);
    fleet.run(seconds{10});
    EXPECT_EQ(view_size(fleet, 1), 5U);
    EXPECT_EQ(view_size(fleet, 2), 5U);
}

TEST(member_table, a_minority_removes_nobody_and_lapses) {
    fake_fleet fleet{5, 4};
    fleet.run(seconds{2});
    for (const std::size_t minority : {1U, 2U})
        for (const std::size_t majority : {3U, 4U, 5U}) {
            fleet.cut(minority, majority, true);
            fleet.cut(majority, minority, true);
        }
    fleet.run(seconds{8});
    EXPECT_EQ(view_size(fleet, 1), 5U);
    EXPECT_FALSE(active(fleet, 1));
    EXPECT_EQ(view_size(fleet, 3), 3U);
    EXPECT_TRUE(active(fleet, 3));
    fleet.heal();
    fleet.run(seconds{5});
    for (std::size_t i = 1; i <= 5; ++i)
        EXPECT_EQ(view_size(fleet, i), 5U) << i;
}

TEST(member_table, a_single_started_member_is_not_active) {
    fake_fleet fleet{5, 5};
    for (std::size_t i = 2; i <= 5; ++i)
        fleet.kill(i);
    fleet.run(seconds{10});
    EXPECT_FALSE(active(fleet, 1));
}

TEST(member_table, a_restarted_member_replaces_its_old_incarnation) {
    fake_fleet fleet{5, 6};
    fleet.run(seconds{2});
    fleet.kill(2);
    fleet.start(2);
    fleet.run(seconds{2});
    for (std::size_t i = 1; i <= 5; ++i) {
        EXPECT_EQ(view_size(fleet, i), 5U) << i;
        EXPECT_TRUE(active(fleet, i)) << i;
    }
}

TEST(member_table, a_frozen_member_returns_under_a_new_incarnation) {
    fake_fleet fleet{5, 7};
    fleet.run(seconds{2});
    const auto before = fleet.at(2).m_table.self().m_name.m_incarnation;
    fleet.freeze(2, seconds{5});
    fleet.run(seconds{10});
    EXPECT_GT(fleet.at(2).m_table.self().m_name.m_incarnation, before);
    EXPECT_EQ(view_size(fleet, 1), 5U);
    EXPECT_TRUE(active(fleet, 2));
}
