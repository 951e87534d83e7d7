// When leaving the zone is cheaper than staying, by room, path and price.
#include <skylark/route/zone_cost.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr zone_terms terms{milliseconds{10}, milliseconds{250},
                           milliseconds{8}};
constexpr zone_path near_zone{milliseconds{8}, milliseconds{1}, 0.7};
constexpr zone_path far_zone{milliseconds{27}, milliseconds{9}, 0.7};

bool pays(double own_room, const zone_path& other,
          const zone_terms& of = terms) {
    return cost_of_leaving(of, other) < cost_of_staying(of, own_room, &other);
}

// Largest room of the own zone, in percent, with which leaving pays.
int threshold(const zone_path& other, const zone_terms& of = terms) {
    int out = 0;
    for (int percent = 0; percent <= 100; ++percent)
        if (pays(percent / 100.0, other, of))
            out = percent;
    return out;
}

} // namespace

TEST(zone_cost, nothing_leaves_a_zone_with_room) {
    for (const zone_path& other : {near_zone, far_zone})
        for (double room = 0.4; room <= 1.0; room += 0.05)
            EXPECT_FALSE(pays(room, other)) << room;
}

TEST(zone_cost, a_zone_without_room_is_left) {
    EXPECT_TRUE(pays(0.0, near_zone));
    EXPECT_TRUE(pays(0.0, far_zone));
}

TEST(zone_cost, a_higher_price_and_a_longer_path_keep_more_requests) {
    zone_terms expensive = terms;
    expensive.m_price = milliseconds{60};
    EXPECT_LT(threshold(near_zone, expensive), threshold(near_zone));
    EXPECT_LE(threshold(far_zone), threshold(near_zone));
}

// If all zones are full, leaving gains nothing and moves the load around.
TEST(zone_cost, a_full_zone_is_not_left_for_another_full_one) {
    for (const double room : {0.0, 0.02, 0.05, 0.1}) {
        zone_path other = near_zone;
        other.m_room = room;
        EXPECT_LE(cost_of_staying(terms, room, &other),
                  cost_of_leaving(terms, other) * 1.1)
            << room;
    }
}

TEST(zone_cost, without_another_zone_a_refusal_is_the_cost) {
    EXPECT_DOUBLE_EQ(cost_of_staying(terms, 1.0, nullptr), 0.0);
    EXPECT_DOUBLE_EQ(cost_of_staying(terms, 0.0, nullptr), 250.0 + 2 * 8.0);
}
