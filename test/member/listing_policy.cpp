// Listing policy: only entries that remain relays are listed in the store.
#include <skylark/member/listing_policy.hpp>

#include <gtest/gtest.h>

#include "test/member/fake_rosters.hpp"

using namespace skylark;

namespace {
constexpr time_point start{seconds{100}};
}

TEST(listing_policy, a_relay_is_listed_after_the_listing_delay) {
    listing_policy subject;
    EXPECT_FALSE(subject.step(start, true));
    EXPECT_FALSE(subject.step(start + seconds{2}, true));
    EXPECT_TRUE(subject.step(start + seconds{3}, true));
}

TEST(listing_policy, an_interruption_restarts_the_listing_delay) {
    listing_policy subject;
    subject.step(start, true);
    subject.step(start + seconds{2}, false);
    EXPECT_FALSE(subject.step(start + seconds{4}, true));
    EXPECT_TRUE(subject.step(start + seconds{7}, true));
}

TEST(listing_policy, a_former_relay_is_delisted_after_the_delisting_delay) {
    listing_policy subject;
    subject.step(start, true);
    ASSERT_TRUE(subject.step(start + seconds{3}, true));
    EXPECT_TRUE(subject.step(start + seconds{10}, false));
    EXPECT_TRUE(subject.step(start + seconds{39}, false));
    EXPECT_FALSE(subject.step(start + seconds{40}, false));
}

// A deployment of 300 entries starts, and then all of them restart at once.
TEST(listing_policy, a_mass_restart_lists_at_most_two_entries_per_zone) {
    constexpr std::size_t members = 300;
    constexpr std::size_t zones = 5;
    test::fake_rosters fleet{members, zones, 21};
    std::map<std::size_t, listing_policy> policies;
    std::set<std::size_t> listed;
    const auto run = [&](int steps) {
        for (int i = 0; i < steps; ++i) {
            fleet.run(milliseconds{500});
            for (std::size_t m = 1; m <= members; ++m)
                if (policies[m].step(fleet.now(), fleet.at(m).is_relay()))
                    listed.insert(m);
        }
    };
    run(14);
    EXPECT_GE(listed.size(), zones);
    EXPECT_LE(listed.size(), 2 * zones);
    listed.clear();
    policies.clear();
    for (std::size_t m = 1; m <= members; ++m)
        fleet.start(m, 2000);
    run(14);
    EXPECT_GE(listed.size(), zones);
    EXPECT_LE(listed.size(), 2 * zones);
}
