// A large configuration reaches every entry of a fleet in time, over links as
// slow as those of the users.
#include <gtest/gtest.h>

#include "test/config/fake_transfers.hpp"

using namespace skylark;
using skylark::test::fake_transfers;

namespace {

constexpr double mbit = 1e6 / 8; // bytes
const std::vector<double> mixed_links{10 * mbit, 200 * mbit, 50 * mbit};
// Four, so that each of three zones has all of them.
const std::vector<double> links_of_zones{10 * mbit, 10 * mbit, 200 * mbit,
                                         50 * mbit};

// What the tightest bound of the users leaves after the watch of the store and
// the announcement, and before the store is asked.
constexpr auto time_left = milliseconds{750};

// Some 30 bytes for each route.
std::size_t packed_bytes(std::size_t routes) {
    constexpr std::size_t for_each_route = 30;
    return routes * for_each_route;
}

} // namespace

TEST(distribution, reaches_all_entries_before_the_store_is_asked) {
    for (const std::size_t count : {14U, 131U, 313U})
        for (const std::size_t routes : {100U, 1400U, 2800U}) {
            fake_transfers subject{
                {count, 3, packed_bytes(routes), mixed_links}};
            subject.run(time_left);
            EXPECT_TRUE(subject.last_delivery())
                << count << " entries, " << routes << " routes, "
                << subject.without_version() << " without it";
        }
}

TEST(distribution, a_source_serves_no_more_entries_in_a_larger_fleet) {
    const auto uploads = [](std::size_t count) {
        fake_transfers subject{{count, 3, packed_bytes(12'000), {10 * mbit}}};
        subject.run(seconds{20});
        EXPECT_EQ(subject.without_version(), 0U) << count;
        return subject.most_uploads();
    };
    EXPECT_EQ(uploads(14), uploads(313));
}

TEST(distribution, frozen_sources_delay_nobody_beyond_the_time_left) {
    for (std::size_t frozen = 0; frozen < 3; ++frozen) {
        fake_transfers subject{{131, 3, packed_bytes(1400), mixed_links}};
        subject.freeze(frozen);
        if (frozen > 0)
            subject.freeze(0);
        subject.run(time_left);
        EXPECT_EQ(subject.without_version(), 0U) << frozen;
    }
}

// Each transfer between zones is billed; without a preference two of three of
// them are.
TEST(distribution, most_transfers_stay_in_a_zone_that_has_the_version) {
    for (const std::size_t count : {14U, 117U, 313U, 1000U}) {
        fake_transfers subject{
            {count, 3, packed_bytes(1400), links_of_zones, 3}};
        subject.run(time_left);
        EXPECT_TRUE(subject.last_delivery()) << count;
        EXPECT_LE(subject.between_zones(), count / 3) << count;
    }
}

TEST(distribution, zones_without_the_version_do_not_wait_for_it) {
    fake_transfers subject{{117, 1, packed_bytes(1400), links_of_zones, 3}};
    subject.run(time_left);
    EXPECT_TRUE(subject.last_delivery());
}

TEST(distribution, frozen_sources_of_one_zone_do_not_hold_it_up) {
    fake_transfers subject{{117, 3, packed_bytes(1400), links_of_zones, 3}};
    subject.freeze(0);
    subject.run(time_left);
    EXPECT_EQ(subject.without_version(), 0U);
}
