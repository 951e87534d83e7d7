// What is remembered of upstreams that are not listed.
#include <skylark/load/availability_history.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{1000}};

availability leaving() {
    availability out;
    out.leave();
    return out;
}

} // namespace

TEST(availability_history, gives_back_what_was_known) {
    availability_history known;
    known.add(upstream_id{1}, leaving());
    EXPECT_TRUE(known.take(upstream_id{2}).usable(start));
    EXPECT_TRUE(known.take(upstream_id{1}).leaving());
    EXPECT_FALSE(known.take(upstream_id{1}).leaving()) << "it was taken";
}

TEST(availability_history, is_bounded_and_drops_the_oldest) {
    availability_history known;
    const std::uint64_t last = availability_history::capacity + 3;
    for (std::uint64_t key = 1; key <= last; ++key)
        known.add(upstream_id{key}, leaving());
    for (std::uint64_t key = 1; key <= 3; ++key)
        EXPECT_FALSE(known.take(upstream_id{key}).leaving());
    for (std::uint64_t key = 4; key <= last; ++key)
        EXPECT_TRUE(known.take(upstream_id{key}).leaving());
}
