// Error messages suggest the nearest known name.
#include <skylark/core/suggest.hpp>

#include <array>

#include <gtest/gtest.h>

using namespace skylark;

TEST(suggest, suggests_the_nearest_name) {
    const std::array<std::string_view, 2> known{"deadline_ms", "method"};
    EXPECT_EQ(expected_one_of("dealine_ms", known).find("\"deadline_ms\""), 0U);
    EXPECT_EQ(expected_one_of("zzzzzz", known), "one of: deadline_ms, method");
}
