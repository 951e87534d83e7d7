// The roster: everybody is found and missed in time, with few messages.
#include <skylark/member/roster.hpp>

#include <gtest/gtest.h>

#include "peer/codec.hpp"
#include "test/member/fake_rosters.hpp"

using namespace skylark;
using skylark::test::fake_rosters;

namespace {

constexpr std::size_t grown = 134;
constexpr std::size_t zones = 5;

// The relays of an entry's zone, as that entry sees them.
std::vector<entry_id> relays(fake_rosters& fleet, std::size_t index) {
    return fleet.at(index).relays_of(
        fleet.zone_of(index), roster_timing{}.m_relays_per_zone, fleet.now());
}

} // namespace

TEST(roster, a_fleet_finds_itself_from_three_seeds) {
    fake_rosters fleet{grown, zones, 1};
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.errors(), 0U);
    for (std::size_t i = 1; i <= grown; ++i)
        EXPECT_EQ(fleet.at(i).live_count(), grown) << i;
}

TEST(roster, messages_grow_with_the_members_and_not_with_their_square) {
    fake_rosters fleet{grown, zones, 2};
    fleet.run(seconds{5});
    const std::size_t before = fleet.sent();
    fleet.run(seconds{10});
    const std::size_t rounds = 50;
    // To both relays and back, and the relays of zones among each other.
    const std::size_t each_round = 4 * grown + 4 * zones * zones;
    EXPECT_LE(fleet.sent() - before, rounds * each_round);
}

TEST(roster, a_dead_member_is_not_named_for_long) {
    fake_rosters fleet{grown, zones, 3};
    fleet.run(seconds{5});
    const std::size_t victim = 77;
    fleet.kill(victim);
    fleet.run(milliseconds{1400});
    for (std::size_t i = 1; i <= grown; ++i)
        if (fleet.zone_of(i) == fleet.zone_of(victim) && i != victim) {
            EXPECT_FALSE(fleet.sees(i, victim)) << i;
        }
    fleet.run(milliseconds{1000});
    EXPECT_EQ(fleet.errors(), 0U);
    fleet.run(roster_timing{}.m_removal_timeout);
    EXPECT_FALSE(fleet.at(1).peers().contains(entry_id{victim}));
}

TEST(roster, relays_that_die_are_replaced_and_nobody_else_is_missed) {
    fake_rosters fleet{grown, zones, 4};
    fleet.run(seconds{5});
    const std::size_t witness = 12;
    std::vector<entry_id> gone = relays(fleet, witness);
    ASSERT_EQ(gone.size(), 2U);
    if (gone[0].value() == witness || gone[1].value() == witness)
        GTEST_FAIL() << "the witness must not be a relay";
    for (const entry_id id : gone)
        fleet.kill(id.value());
    for (int i = 0; i < 30; ++i) {
        fleet.run(milliseconds{100});
        for (std::size_t other = 1; other <= grown; ++other)
            if (other != witness && !fleet.dead(other)) {
                EXPECT_TRUE(fleet.sees(witness, other)) << other;
            }
    }
    EXPECT_EQ(fleet.errors(), 0U);
    for (const entry_id id : relays(fleet, witness))
        EXPECT_FALSE(fleet.dead(id.value()));
}

TEST(roster, half_of_all_may_die_at_once) {
    for (std::uint64_t seed = 10; seed < 20; ++seed) {
        fake_rosters fleet{grown, zones, seed};
        fleet.run(seconds{5});
        random_source chance{seed};
        for (std::size_t i = 1; i <= grown; ++i)
            if (chance(100) < 55)
                fleet.kill(i);
        fleet.run(seconds{6});
        EXPECT_EQ(fleet.errors(), 0U) << "seed " << seed;
    }
}

TEST(roster, a_zone_may_vanish) {
    fake_rosters fleet{grown, zones, 5};
    fleet.run(seconds{5});
    for (std::size_t i = 1; i <= grown; ++i)
        if (fleet.zone_of(i) == 2)
            fleet.kill(i);
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.errors(), 0U);
}

TEST(roster, the_strong_relay) {
    fake_rosters fleet{grown, zones, 11};
    const std::set<entry_id> strong{entry_id{40}, entry_id{45}};
    for (const entry_id id : strong)
        fleet.strengthen(id.value());
    fleet.run(seconds{3});
    for (std::size_t i = 1; i <= grown; ++i) {
        if (fleet.zone_of(i) != fleet.zone_of(40))
            continue;
        const auto chosen = relays(fleet, i);
        EXPECT_EQ(std::set<entry_id>(chosen.begin(), chosen.end()), strong)
            << i;
    }
}

TEST(roster, a_leaving_member_is_known_within_a_second) {
    fake_rosters fleet{grown, zones, 6};
    fleet.run(seconds{5});
    const std::size_t leaver = 40;
    fleet.at(leaver).leave();
    fleet.run(seconds{1});
    for (std::size_t i = 1; i <= grown; ++i) {
        if (i == leaver)
            continue;
        const auto& peers = fleet.at(i).peers();
        EXPECT_EQ(peers.at(entry_id{leaver}).m_state, member_state::leaving)
            << i;
    }
}

TEST(roster, lost_datagrams_make_nobody_vanish) {
    fake_rosters fleet{grown, zones, 7};
    fleet.run(seconds{5});
    fleet.lose(5);
    std::size_t errors = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.run(milliseconds{500});
        errors += fleet.errors();
    }
    // Of 134 x 133 pairs, looked at 40 times: one in a thousand.
    EXPECT_LE(errors, grown * (grown - 1) * 40 / 1000);
}

TEST(roster, a_member_cut_off_from_its_relays_finds_others) {
    fake_rosters fleet{30, 3, 8};
    fleet.run(seconds{5});
    const std::size_t subject = 9;
    for (const entry_id id : relays(fleet, subject)) {
        ASSERT_NE(id.value(), subject);
        fleet.cut(subject, id.value());
        fleet.cut(id.value(), subject);
    }
    fleet.run(seconds{6});
    std::size_t seen = 0;
    for (std::size_t i = 1; i <= 30; ++i)
        seen += i != subject && fleet.sees(subject, i) ? 1 : 0;
    EXPECT_GE(seen, 27U);
}

TEST(roster, a_restart_after_the_clock_was_set_back_is_accepted) {
    fake_rosters fleet{20, 2, 9};
    fleet.run(seconds{5});
    fleet.kill(11);
    fleet.run(milliseconds{1500});
    fleet.start(11, 500);
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.errors(), 0U);
    EXPECT_EQ(
        fleet.at(4).peers().at(entry_id{11}).m_record.m_name.m_incarnation,
        500U);
}

TEST(roster, two_fleets_join_through_a_listed_address) {
    fake_rosters fleet{20, 2, 10};
    fleet.run(seconds{3});
    // Entry 50 knows no living seed, only what the platform lists.
    for (const std::size_t seed : {1U, 2U, 3U})
        fleet.kill(seed);
    fleet.run(seconds{6});
    fleet.start(50, 1000);
    fleet.run(seconds{1});
    const std::vector<address> listed{{17, 1}};
    fleet.at(50).set_listed(listed);
    fleet.run(seconds{3});
    EXPECT_EQ(fleet.errors(), 0U);
}

TEST(roster, greets_who_has_no_configuration) {
    fake_rosters fleet{4, 2, 12};
    fleet.run(seconds{2});
    heartbeat newcomer;
    newcomer.m_sender.m_name = {entry_id{9}, 1};
    newcomer.m_sender.m_contact.m_peer = {9, 1};
    const config_mark known{7, 8, {}};
    const auto told = fleet.at(1).config_announcement(newcomer, known);
    ASSERT_TRUE(told);
    EXPECT_EQ(told->m_to, std::vector{newcomer.m_sender.m_contact.m_peer});
    EXPECT_EQ(told->m_message.m_config.m_revision, 7U);
    EXPECT_TRUE(told->m_message.m_reports.empty());
    EXPECT_FALSE(fleet.at(1).config_announcement(newcomer, {}));
    newcomer.m_config.m_revision = 3;
    EXPECT_FALSE(fleet.at(1).config_announcement(newcomer, known));
}

// At the first start everybody turns to the seeds, which have weak links.
TEST(roster, seeds_refer_a_starting_fleet_to_its_relays) {
    constexpr std::size_t members = 313;
    constexpr std::size_t link = 2'500'000; // bytes a second, 20 Mbit/s
    fake_rosters fleet{members, zones, 13};
    for (std::size_t zone = 1; zone <= zones; ++zone)
        for (std::size_t i = 0; i < 3; ++i)
            fleet.strengthen(100 + zone + i * zones);
    std::map<std::size_t, std::size_t> sent; // bytes
    fleet.m_send = [&](std::size_t from, const heartbeat& message,
                       std::size_t count) {
        if (from <= 3)
            sent[from] += peer::encode(message).size() * count;
    };
    constexpr seconds time{2};
    fleet.run(time);
    EXPECT_EQ(fleet.errors(), 0U);
    for (const auto& [seed, bytes] : sent)
        EXPECT_LE(bytes, time.count() * link / 2) << seed;
}
