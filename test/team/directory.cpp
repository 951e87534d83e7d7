// Digests lead to their teams; a team's rank goes before a rule's.
#include <skylark/team/directory.hpp>

#include <array>

#include <gtest/gtest.h>

#include <skylark/team/rank.hpp>

using namespace skylark;

TEST(team_directory, finds_a_team_by_each_of_its_digests_only) {
    const std::array teams{team{"reds", {"d1", "d2"}, 3}, team{"blues", {"d3"}},
                           team{"greens", {}, 7}};
    const team_directory subject{teams};
    EXPECT_EQ(subject.find("d1")->m_name, "reds");
    EXPECT_EQ(subject.find("d2")->m_name, "reds");
    EXPECT_EQ(subject.find("d3")->m_name, "blues");
    for (const char* other : {"", "d", "d4", "D1", "reds"})
        EXPECT_FALSE(subject.find(other)) << other;
}

TEST(team_directory, knows_whether_there_are_teams_and_the_first_rank) {
    EXPECT_TRUE(team_directory{}.empty());
    EXPECT_EQ(team_directory{}.first_rank(), 0U);
    const std::array teams{team{"a", {}, 5}, team{"b", {}, 2}};
    EXPECT_FALSE(team_directory{teams}.empty());
    EXPECT_EQ(team_directory{teams}.first_rank(), 2U);
}

TEST(team_directory, is_independent_of_the_teams_it_was_made_of) {
    std::vector<team> teams{{"reds", {"d1"}}};
    const team_directory subject{teams};
    teams.clear();
    EXPECT_EQ(subject.find("d1")->m_name, "reds");
}

TEST(request_rank, compares_the_team_before_the_rule) {
    EXPECT_LT((request_rank{0, 9}), (request_rank{1, 0}));
    EXPECT_LT((request_rank{1, 0}), (request_rank{1, 2}));
}

// Otherwise each team would claim the urgent class.
TEST(request_rank, only_the_first_teams_are_urgent) {
    EXPECT_EQ(class_of(request_class::urgent, 2, 2), request_class::urgent);
    EXPECT_EQ(class_of(request_class::urgent, 3, 2), request_class::normal);
    EXPECT_EQ(class_of(request_class::normal, 2, 2), request_class::normal);
    EXPECT_EQ(class_of(request_class::bulk, 2, 2), request_class::bulk);
    EXPECT_EQ(class_of(request_class::bulk, 3, 2), request_class::bulk);
}
