// When the memory of a process passes half and three quarters of its machine's.
#include <skylark/limit/memory_level.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(memory_level, each_crossing_is_reported_once) {
    memory_level level{1000};
    EXPECT_EQ(level.step(480), std::nullopt);
    EXPECT_EQ(level.step(501), 50);
    EXPECT_EQ(level.step(740), std::nullopt);
    EXPECT_EQ(level.step(751), 75);
    EXPECT_EQ(level.step(999), std::nullopt);
}

TEST(memory_level, a_jump_over_both_levels_is_one_crossing) {
    memory_level level{1000};
    EXPECT_EQ(level.step(900), 75);
    EXPECT_EQ(level.step(900), std::nullopt);
}

TEST(memory_level, readings_around_a_level_are_no_crossings) {
    memory_level level{1000};
    EXPECT_EQ(level.step(501), 50);
    EXPECT_EQ(level.step(460), std::nullopt);
    EXPECT_EQ(level.step(501), std::nullopt);
    EXPECT_EQ(level.step(440), std::nullopt);
    EXPECT_EQ(level.step(501), 50);
}

TEST(memory_level, a_machine_of_unknown_memory_has_no_levels) {
    memory_level level{0};
    EXPECT_EQ(level.step(1'000'000), std::nullopt);
}
