// Whom to ask and who takes the request, at each state of knowledge.
#include <skylark/route/ask_plan.hpp>

#include <map>
#include <set>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr ask_terms patient{true, most_questions};
constexpr ask_terms impatient{false, most_questions};

load_report with(std::uint32_t used, std::uint32_t queue,
                 std::uint32_t slowness) {
    return {0, upstream_state::warm, used, 6, queue, slowness};
}

ask_candidate near(std::uint64_t key) {
    ask_candidate out;
    out.m_upstream = upstream_id{key};
    out.m_near = true;
    return out;
}

ask_candidate near(std::uint64_t key, const load_report& report) {
    ask_candidate out = near(key);
    out.m_asked = true;
    out.m_report = report;
    return out;
}

class ask_plan_test : public testing::Test {
protected:
    std::vector<upstream_id> asked(const std::vector<ask_candidate>& from,
                                   const ask_terms& terms = patient) {
        const auto step = plan_ask(from, terms, m_random);
        const auto* found = std::get_if<ask_upstreams>(&step);
        return found ? found->m_whom : std::vector<upstream_id>{};
    }

    upstream_id chosen(const std::vector<ask_candidate>& from,
                       const ask_terms& terms = patient) {
        const auto step = plan_ask(from, terms, m_random);
        const auto* found = std::get_if<send_to_upstream>(&step);
        return found ? found->m_upstream : upstream_id{};
    }

    random_source m_random{7};
};

} // namespace

TEST_F(ask_plan_test, asks_near_upstreams_first) {
    std::vector<ask_candidate> from{near(1), near(2), near(3), near(4)};
    from[0].m_near = false;
    for (const upstream_id whom : asked(from))
        EXPECT_NE(whom, upstream_id{1});
    EXPECT_EQ(asked(from).size(), most_questions);
}

TEST_F(ask_plan_test, every_upstream_is_asked_in_time) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 8; ++key)
        from.push_back(near(key));
    for (std::size_t i = 1; i < from.size(); ++i)
        from[i].m_connected = from[i].m_held = true;
    int seen = 0;
    for (int i = 0; i < 100; ++i)
        for (const upstream_id whom : asked(from))
            seen += whom == upstream_id{1} ? 1 : 0;
    EXPECT_GT(seen, 3); // of 100 rounds; its fair part is 100 / 8
}

// A new connection costs the upstream as much as many questions on an old one.
TEST_F(ask_plan_test, open_connections_are_used_and_others_still_found) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 40; ++key) {
        from.push_back(near(key));
        from.back().m_connected = key <= 12;
        from.back().m_held = key <= 12;
    }
    constexpr int rounds = 8000;
    int new_connections = 0;
    std::set<upstream_id> found;
    for (int i = 0; i < rounds; ++i)
        for (const upstream_id whom : asked(from))
            if (whom.value() > 12) {
                ++new_connections;
                found.insert(whom);
            }
    EXPECT_LE(new_connections, rounds / 12);
    EXPECT_EQ(found.size(), 28U);
}

// Connections whose requests are running are there again soon.
TEST_F(ask_plan_test, two_idle_connections_are_enough_beside_busy_ones) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 40; ++key) {
        from.push_back(near(key));
        from.back().m_connected = key <= 2;
        from.back().m_held = key <= 6;
    }
    constexpr int rounds = 800;
    int new_connections = 0;
    for (int i = 0; i < rounds; ++i)
        for (const upstream_id whom : asked(from))
            new_connections += whom.value() > 2 ? 1 : 0;
    EXPECT_LE(new_connections, rounds / 5);
}

TEST_F(ask_plan_test, newcomers_are_asked_soon) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 40; ++key) {
        from.push_back(near(key));
        from.back().m_connected = key <= 12;
        from.back().m_held = key <= 12;
    }
    from.back().m_newcomer = true;
    int rounds = 0;
    int met = 0;
    for (; rounds < 400; ++rounds)
        for (const upstream_id whom : asked(from))
            met += whom == upstream_id{40} ? 1 : 0;
    EXPECT_GE(met, rounds / 5);
    EXPECT_LE(met, rounds / 3);
}

TEST_F(ask_plan_test, the_fastest_of_those_that_answered_takes_it) {
    EXPECT_EQ(chosen({near(1, with(2, 0, 700)), near(2, with(3, 0, 100)),
                      near(3, with(6, 3, 100))}),
              upstream_id{2});
}

TEST_F(ask_plan_test, equals_share_the_requests) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 4; ++key)
        from.push_back(near(key, with(0, 0, 100)));
    std::map<upstream_id, int> counts;
    for (int i = 0; i < 400; ++i)
        ++counts[chosen(from)];
    for (std::uint64_t key = 1; key <= 4; ++key)
        EXPECT_GT(counts[upstream_id{key}], 50); // its fair part is 100
}

TEST_F(ask_plan_test, asks_further_when_all_are_slow) {
    auto far = near(4);
    far.m_near = false;
    EXPECT_EQ(asked({near(1, with(0, 0, 700)), far}),
              std::vector{upstream_id{4}});
    // Nobody is left to ask: the best known takes it.
    EXPECT_EQ(chosen({near(1, with(0, 0, 700)), near(2, with(0, 0, 500))}),
              upstream_id{2});
}

TEST_F(ask_plan_test, a_near_upstream_is_preferred_to_a_little_faster_one) {
    auto far = near(1, with(0, 0, 100));
    far.m_near = false;
    EXPECT_EQ(chosen({far, near(2, with(1, 0, 100))}), upstream_id{2});
    EXPECT_EQ(chosen({far, near(2, with(1, 0, 300))}), upstream_id{1});
}

TEST_F(ask_plan_test, waits_for_answers_only_while_patient) {
    auto pending = near(1);
    pending.m_asked = true;
    pending.m_pending = true;
    const std::vector<ask_candidate> from{pending, near(2, with(0, 0, 100))};
    EXPECT_TRUE(std::holds_alternative<await_answers>(
        plan_ask(from, patient, m_random)));
    EXPECT_EQ(chosen(from, impatient), upstream_id{2});
}

TEST_F(ask_plan_test, full_upstreams_get_nothing) {
    ask_terms terms = patient;
    EXPECT_FALSE(has_room(with(6, 3, 200), terms));
    EXPECT_TRUE(has_room(with(6, 3, 100), terms));
    EXPECT_TRUE(has_room(with(5, 0, 700), terms));
    terms.m_crowding = 0.7;
    EXPECT_FALSE(has_room(with(5, 0, 700), terms));
    EXPECT_TRUE(has_room(with(5, 0, 100), terms));
    EXPECT_TRUE(has_room(with(3, 0, 700), terms));
    terms.m_in_time = 100.0;
    EXPECT_FALSE(has_room(with(6, 12, 100), terms));
    const std::vector<ask_candidate> from{near(1, with(6, 12, 100))};
    EXPECT_TRUE(
        std::holds_alternative<nobody_free>(plan_ask(from, patient, m_random)));
    EXPECT_TRUE(
        std::holds_alternative<nobody_free>(plan_ask({}, patient, m_random)));
}

TEST_F(ask_plan_test, an_upstream_that_was_full_is_not_asked_again_at_once) {
    constexpr ask_terms no_budget{true, 0};
    auto full = near(1);
    full.m_recent = with(6, 12, 100);
    EXPECT_EQ(asked({full, near(2)}), std::vector{upstream_id{2}});
    EXPECT_TRUE(std::holds_alternative<nobody_free>(
        plan_ask({&full, 1}, patient, m_random)));
    EXPECT_TRUE(std::holds_alternative<nobody_free>(
        plan_ask({&full, 1}, no_budget, m_random)));
}

TEST_F(ask_plan_test, suspects_are_asked_last) {
    std::vector<ask_candidate> from;
    for (std::uint64_t key = 1; key <= 6; ++key)
        from.push_back(near(key));
    for (std::size_t i = 0; i < 3; ++i)
        from[i].m_suspect = true;
    for (const upstream_id whom : asked(from))
        EXPECT_GT(whom, upstream_id{3});
}

TEST_F(ask_plan_test, without_a_budget_the_less_used_of_two_takes_it) {
    constexpr ask_terms no_budget{true, 0};
    std::vector<ask_candidate> from{near(1), near(2)};
    from[0].m_in_flight = 5;
    int second = 0;
    for (int i = 0; i < 100; ++i)
        second += chosen(from, no_budget) == upstream_id{2} ? 1 : 0;
    EXPECT_GT(second, 60); // two draws miss it in a quarter of the cases
}

// Plays the load that the plan is for: a third of the upstreams is seven
// times slower, other ones each half second, and each entry sends rarely.
TEST_F(ask_plan_test, avoids_upstreams_that_are_slow_at_this_moment) {
    constexpr std::size_t count = 12;
    constexpr int periods = 400;
    int slow_choices = 0;
    int blind_choices = 0;
    for (int period = 0; period < periods; ++period) {
        std::vector<std::uint32_t> slowness(count, nominal_slowness);
        for (auto& item : slowness)
            item = m_random(3) == 0 ? 700 : nominal_slowness;
        std::vector<ask_candidate> from;
        for (std::size_t i = 0; i < count; ++i)
            from.push_back(near(i + 1));
        blind_choices += slowness[m_random(count)] > nominal_slowness ? 1 : 0;
        for (int round = 0; round < 8; ++round) {
            const auto step = plan_ask(from, patient, m_random);
            if (const auto* ask = std::get_if<ask_upstreams>(&step)) {
                for (const upstream_id whom : ask->m_whom)
                    from[whom.value() - 1] = near(
                        whom.value(), with(1, 0, slowness[whom.value() - 1]));
                continue;
            }
            const auto& send = std::get<send_to_upstream>(step);
            slow_choices +=
                slowness[send.m_upstream.value() - 1] > nominal_slowness ? 1
                                                                         : 0;
            break;
        }
    }
    EXPECT_GT(blind_choices, periods / 4);
    EXPECT_LT(slow_choices, periods / 100); // a tenth of three all slow
}
