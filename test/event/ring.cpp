// Stamps order causes before effects, and dropped events are counted.
#include <skylark/event/ring.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(event_ring, counts_dropped_events) {
    event_ring subject{2};
    for (int i = 0; i < 5; ++i)
        subject.add(1000, event_kind::member, "m", "joined");
    EXPECT_EQ(subject.events().size(), 2U);
    EXPECT_EQ(subject.dropped(), 3U);
    EXPECT_EQ(subject.events().back().m_sequence, 5U);
}

TEST(hybrid_clock, stays_above_observed_stamps) {
    hybrid_clock ahead;
    hybrid_clock behind;
    const auto cause = ahead.stamp(2000);
    behind.observe(cause, 1000);
    EXPECT_GT(behind.stamp(1000), cause);
}

TEST(hybrid_clock, ignores_stamps_far_ahead) {
    hybrid_clock subject;
    subject.observe(std::uint64_t{10'000'000} << hybrid_clock::counter_bits,
                    1000);
    EXPECT_EQ(subject.stamp(1000) >> hybrid_clock::counter_bits, 1000U);
}
