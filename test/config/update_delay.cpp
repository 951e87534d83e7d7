// The delay counts from the first announcement to the adoption.
#include <skylark/config/update_delay.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(update_delay, counts_from_the_first_announcement) {
    constexpr time_point start{seconds{100}};
    constexpr address first{1, 1};
    update_delay subject;
    subject.fetch_failed();
    EXPECT_EQ(subject.pending_for(start), duration{0});
    subject.announced(first, start);
    subject.fetch_failed();
    subject.announced({2, 1}, start + seconds{1});
    EXPECT_EQ(subject.pending_for(start + seconds{2}), seconds{2});
    const auto ended = subject.ended();
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->m_at, start);
    EXPECT_EQ(ended->m_by, first);
    EXPECT_EQ(ended->m_failed_fetches, 1U);
    EXPECT_FALSE(subject.ended());
}
