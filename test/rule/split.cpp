// Every window of requests keeps the weights.
#include <skylark/rule/split.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(split_cursor, keeps_the_weights_in_every_window) {
    const std::vector<weighted_service> parts{{"a", 90}, {"b", 9}, {"c", 1}};
    split_cursor subject;
    std::array<int, 3> counts{};
    for (int i = 1; i <= 300; ++i) {
        ++counts.at(subject.next(parts));
        for (std::size_t part = 0; part < parts.size(); ++part)
            EXPECT_NEAR(counts.at(part), i * parts[part].m_weight / 100.0, 1.0);
    }
}

TEST(split_cursor, follows_new_weights) {
    split_cursor subject;
    const std::vector<weighted_service> before{{"a", 100}, {"b", 0}};
    const std::vector<weighted_service> after{{"a", 0}, {"b", 100}};
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(subject.next(before), 0U);
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(subject.next(after), 1U);
}
