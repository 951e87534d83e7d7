// An entry claims that no rule matches only while its configuration is known
// to be in force.
#include <skylark/config/absence_claim.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(absence_claim, needs_a_confirmation_within_the_apply_limit) {
    EXPECT_TRUE(may_claim_absence({milliseconds{0}, seconds{2}}));
    EXPECT_TRUE(may_claim_absence({seconds{2}, seconds{2}}));
    EXPECT_FALSE(may_claim_absence({milliseconds{2001}, seconds{2}}));
    EXPECT_FALSE(may_claim_absence({duration::max(), seconds{2}}));
}

TEST(absence_claim, is_not_made_beside_a_newer_configuration) {
    EXPECT_FALSE(may_claim_absence({milliseconds{0}, seconds{2}, true}));
}

TEST(absence_claim, without_an_apply_limit_needs_no_confirmation) {
    EXPECT_TRUE(may_claim_absence({duration::max(), std::nullopt, true}));
    EXPECT_FALSE(
        may_claim_absence({milliseconds{0}, std::nullopt, false, true}));
}
