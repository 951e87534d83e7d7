// The first member records what all decide; scopes tell which reports it gets.
#include <gtest/gtest.h>

#include "test/member/fake_rosters.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

std::vector<std::size_t> first_members(fake_rosters& of, std::size_t count) {
    std::vector<std::size_t> out;
    for (std::size_t i = 1; i <= count; ++i)
        if (!of.dead(i) && of.at(i).is_first(of.now()))
            out.push_back(i);
    return out;
}

} // namespace

TEST(first_member, is_one_of_the_highest_capacity) {
    fake_rosters fleet{14, 3, 1};
    fleet.raise_capacity(5);
    fleet.raise_capacity(9);
    fleet.run(seconds{10});
    const auto first = first_members(fleet, 14);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_TRUE(first[0] == 5 || first[0] == 9);
    // Its zone's members report to it directly.
    EXPECT_TRUE(fleet.at(first[0]).is_relay());
}

TEST(first_member, is_replaced_when_it_dies) {
    fake_rosters fleet{14, 3, 1};
    fleet.run(seconds{10});
    const auto before = first_members(fleet, 14);
    ASSERT_EQ(before.size(), 1U);
    fleet.kill(before[0]);
    fleet.run(seconds{5});
    const auto after = first_members(fleet, 14);
    ASSERT_EQ(after.size(), 1U);
    EXPECT_NE(after[0], before[0]);
}

// An entry that the store does not answer could not record anything.
TEST(first_member, is_one_that_the_store_answers) {
    fake_rosters fleet{14, 3, 1};
    fleet.run(seconds{10});
    const std::size_t before = first_members(fleet, 14).at(0);
    fleet.m_announced_config = [before](std::size_t index) {
        config_mark out;
        out.m_store_lost = index == before;
        return out;
    };
    fleet.run(seconds{5});
    const auto after = first_members(fleet, 14);
    ASSERT_EQ(after.size(), 1U);
    EXPECT_NE(after[0], before);
}

// Exposures of single members go to the relays of other zones, sums to members.
TEST(first_member, scopes_tell_reports_on_a_zone_from_those_on_all) {
    fake_rosters fleet{14, 3, 1};
    fleet.run(seconds{10});
    std::set<subscription> seen;
    for (std::size_t i = 1; i <= 14; ++i)
        for (int round = 0; round < 2; ++round)
            for (const auto& out : fleet.at(i).tick(fleet.now(), {})) {
                seen.insert(out.m_scope);
                if (out.m_scope != subscription::zone)
                    continue;
                for (const member_report& item : out.m_message.m_reports)
                    EXPECT_EQ(fleet.zone_of(item.m_name.m_id.value()),
                              fleet.zone_of(i));
            }
    EXPECT_EQ(seen.size(), 3U);
}
