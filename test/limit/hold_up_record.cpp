// How long a process was held up lately.
#include <skylark/limit/hold_up_record.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {
constexpr time_point start{seconds{100}};
}

TEST(hold_up_record, tells_the_longest_of_the_last_minute) {
    hold_up_record record;
    EXPECT_EQ(record.longest(start), duration{0});
    record.add(start, seconds{2});
    record.add(start + seconds{10}, seconds{1});
    record.add(start + seconds{20}, milliseconds{500});
    EXPECT_EQ(record.longest(start + seconds{60}), seconds{2});
    EXPECT_EQ(record.longest(start + seconds{61}), seconds{1});
    EXPECT_EQ(record.longest(start + seconds{71}), milliseconds{500});
    EXPECT_EQ(record.longest(start + seconds{81}), duration{0});
}

TEST(hold_up_record, a_longer_one_takes_the_place_of_those_before) {
    hold_up_record record;
    record.add(start, seconds{1});
    record.add(start + seconds{30}, seconds{3});
    EXPECT_EQ(record.longest(start + seconds{31}), seconds{3});
    EXPECT_EQ(record.longest(start + seconds{91}), duration{0});
}
