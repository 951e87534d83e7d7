// Extra attempts stay within their percentage of requests, and the balance
// never exceeds its cap.
#include <skylark/limit/ratio_budget.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(ratio_budget, limits_extra_attempts_to_a_percentage) {
    ratio_budget subject{3.0};
    int withdrawn = 0;
    for (int i = 0; i < 1000; ++i) {
        subject.deposit(10.0);
        withdrawn += subject.try_withdraw() ? 1 : 0;
    }
    EXPECT_LE(withdrawn, 100);
    EXPECT_GE(withdrawn, 98);
}

TEST(ratio_budget, balance_is_capped) {
    ratio_budget subject{3.0};
    for (int i = 0; i < 1000; ++i)
        subject.deposit(10.0);
    int withdrawn = 0;
    while (subject.try_withdraw())
        ++withdrawn;
    EXPECT_EQ(withdrawn, 3);
}
