// The weights are kept in every window of requests, not just on average.
#include <skylark/rule/weighted_round_robin.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(weighted_round_robin, keeps_the_weights_in_every_window) {
    const std::vector<weighted_service> services{{"a", 90}, {"b", 9}, {"c", 1}};
    weighted_round_robin subject;
    std::array<int, 3> counts{};
    for (int i = 1; i <= 300; ++i) {
        ++counts.at(subject.next(services));
        for (std::size_t index = 0; index < services.size(); ++index)
            EXPECT_NEAR(counts.at(index), i * services[index].m_weight / 100.0,
                        1.0);
    }
}

TEST(weighted_round_robin, applies_new_weights) {
    weighted_round_robin subject;
    const std::vector<weighted_service> before{{"a", 100}, {"b", 0}};
    const std::vector<weighted_service> after{{"a", 0}, {"b", 100}};
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(subject.next(before), 0U);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(subject.next(after), 1U);
}
