// Positions are ordered by era, then by revision, and read back as text.
#include <skylark/core/store_position.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(store_position, a_later_era_goes_before_a_higher_revision) {
    EXPECT_LT((store_position{50, 1}), (store_position{41, 2}));
    EXPECT_LT((store_position{41, 2}), (store_position{42, 2}));
    EXPECT_FALSE(store_position{}.known());
}

TEST(store_position, is_read_back_from_its_text) {
    for (const store_position item :
         {store_position{}, store_position{7}, store_position{41, 2}})
        EXPECT_EQ(parse_position(text_of(item)), item);
    EXPECT_EQ(parse_position(""), store_position{});
    for (const char* odd : {"x", "2:", ":4", "2:x", "1:2:3", "-1"})
        EXPECT_EQ(parse_position(odd), std::nullopt) << odd;
}
