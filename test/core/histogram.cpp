// Quantiles stay within 2 % of the exact value, above the relative bucket
// width.
#include <skylark/core/histogram.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(histogram, quantiles_of_a_ramp) {
    histogram subject;
    constexpr int count = 100000;
    for (int i = 1; i <= count; ++i)
        subject.add(microseconds{i});
    for (const double q : {0.01, 0.5, 0.99, 0.999}) {
        const auto found = static_cast<double>(subject.quantile(q).count());
        EXPECT_NEAR(found, q * count, q * count / 50) << q;
    }
}

TEST(histogram, quantile_of_empty_histogram_is_zero) {
    EXPECT_EQ(histogram{}.quantile(0.99), duration{0});
}
