// Choices of the routing policies, including how each breaks ties.
#include <skylark/route/policy.hpp>

#include <set>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

candidate make_candidate(std::uint64_t key, std::uint32_t in_flight,
                         std::uint32_t penalty, std::uint32_t preference) {
    return {upstream_id{key}, in_flight, penalty, preference};
}

} // namespace

TEST(policy, preferred_least_breaks_ties_by_preference) {
    random_source random{1};
    policy subject = make_policy("preferred_least");
    const std::vector candidates{make_candidate(1, 1, 0, 0),
                                 make_candidate(2, 0, 0, 2),
                                 make_candidate(3, 0, 0, 1)};
    EXPECT_EQ(choose(subject, candidates, random), upstream_id{3});
    const std::vector penalized{make_candidate(1, 1, 0, 0),
                                make_candidate(2, 0, 5, 1)};
    EXPECT_EQ(choose(subject, penalized, random), upstream_id{1});
}

TEST(policy, least_in_flight_breaks_ties_by_chance) {
    random_source random{1};
    policy subject = make_policy("least_in_flight");
    const std::vector candidates{make_candidate(1, 0, 0, 0),
                                 make_candidate(2, 0, 0, 1),
                                 make_candidate(3, 1, 0, 2)};
    std::set<upstream_id> chosen;
    for (int i = 0; i < 64; ++i)
        chosen.insert(*choose(subject, candidates, random));
    EXPECT_EQ(chosen, (std::set{upstream_id{1}, upstream_id{2}}));
}

TEST(policy, round_robin_takes_turns) {
    random_source random{1};
    policy subject = make_policy("round_robin");
    const std::vector candidates{make_candidate(1, 9, 0, 0),
                                 make_candidate(2, 0, 0, 1)};
    const auto first = choose(subject, candidates, random);
    const auto second = choose(subject, candidates, random);
    EXPECT_NE(first, second);
}

TEST(policy, no_candidates_give_no_choice) {
    random_source random{1};
    for (const auto name : policy_names) {
        policy subject = make_policy(name);
        EXPECT_FALSE(choose(subject, {}, random));
    }
}
