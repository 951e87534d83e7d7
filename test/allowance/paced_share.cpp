// Tokens that an entry without an owner grants itself.
#include <skylark/allowance/paced_share.hpp>

#include <gtest/gtest.h>

namespace skylark {
namespace {

const time_point start{seconds{100}};

TEST(paced_share, grants_at_even_intervals) {
    paced_share share;
    share.restart(2.0, 0.5, start);
    EXPECT_FALSE(share.take(start));
    EXPECT_EQ(share.until_next(start), milliseconds{250});
    EXPECT_TRUE(share.take(start + milliseconds{250}));
    EXPECT_FALSE(share.take(start + milliseconds{700}));
    EXPECT_TRUE(share.take(start + milliseconds{750}));
}

// If unused tokens were kept, all entries together could save up far more than
// the limit.
TEST(paced_share, drops_tokens_after_their_life) {
    paced_share share;
    share.restart(0.01, 0.0, start);
    EXPECT_FALSE(share.take(start + seconds{2}));
    EXPECT_TRUE(share.take(start + seconds{100}));

    share.restart(10.0, 0.0, start);
    int granted = 0;
    while (share.take(start + seconds{60}))
        ++granted;
    EXPECT_LE(granted, 11);
    EXPECT_GE(granted, 10);
}

} // namespace
} // namespace skylark
