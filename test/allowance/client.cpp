// What an entry does with requests while it has, awaits or gets no tokens.
#include <skylark/allowance/client.hpp>

#include <gtest/gtest.h>

namespace skylark {
namespace {

constexpr std::uint64_t team = 77;
const time_point start{seconds{100}};

class allowance_client_test : public testing::Test {
protected:
    allowance_client_test() {
        m_view.m_self = entry_id{1};
        m_view.m_live =
            m_view.m_known = {entry_id{1}, entry_id{2}, entry_id{3}};
        m_view.m_settled = true;
        m_client.set_view(m_view);
        m_client.configure({&m_limit, 1});
    }

    allowance_verdict admit(std::uint64_t request, time_point now) {
        allowance_steps out;
        const auto verdict = m_client.admit(team, request, now, out);
        if (!out.m_send.empty())
            m_question = out.m_send.front().m_message;
        return verdict;
    }

    std::vector<allowance_decision> grant(std::uint32_t count, time_point now) {
        allowance_message reply = m_question;
        reply.m_kind = allowance_kind::grant;
        reply.m_from = m_view.rank(team).m_first;
        reply.m_count = count;
        reply.m_quiet = milliseconds{100};
        reply.m_room_in = milliseconds{200};
        const allowance_steps out = m_client.received(reply, now);
        if (!out.m_send.empty())
            m_question = out.m_send.front().m_message;
        return out.m_decided;
    }

    team_limit m_limit{team, 30.0, 30.0};
    allowance_view m_view;
    allowance_client m_client{5};
    allowance_message m_question;
};

TEST_F(allowance_client_test, never_makes_other_teams_wait) {
    allowance_steps out;
    EXPECT_EQ(m_client.admit(team + 1, 1, start, out),
              allowance_verdict::granted);
    EXPECT_TRUE(out.m_send.empty());
}

// One question is in flight for as many requests as wait.
TEST_F(allowance_client_test, asks_for_all_that_wait) {
    EXPECT_EQ(admit(1, start), allowance_verdict::waiting);
    EXPECT_EQ(admit(2, start), allowance_verdict::waiting);
    EXPECT_EQ(admit(3, start), allowance_verdict::waiting);
    EXPECT_EQ(m_question.m_count, 1U);
    EXPECT_EQ(grant(1, start + milliseconds{1}).size(), 1U);
    EXPECT_EQ(m_question.m_count, 2U);
    EXPECT_EQ(grant(2, start + milliseconds{2}).size(), 2U);
    EXPECT_FALSE(m_client.busy());
}

TEST_F(allowance_client_test, refuses_by_itself_after_a_denial) {
    admit(1, start);
    const auto decided = grant(0, start);
    ASSERT_EQ(decided.size(), 1U);
    EXPECT_FALSE(decided[0].m_granted);
    EXPECT_GE(decided[0].m_retry_after, milliseconds{200});
    EXPECT_EQ(admit(2, start + milliseconds{50}), allowance_verdict::refused);
    EXPECT_EQ(admit(3, start + milliseconds{101}), allowance_verdict::waiting);
}

// Guards against tokens that are used long after they were lent.
TEST_F(allowance_client_test, drops_tokens_after_a_second) {
    admit(1, start);
    grant(3, start);
    EXPECT_EQ(admit(2, start + milliseconds{900}), allowance_verdict::granted);
    EXPECT_EQ(admit(3, start + milliseconds{1100}), allowance_verdict::waiting);
    EXPECT_EQ(m_question.m_returned, 1U);
}

TEST_F(allowance_client_test, uses_a_token_that_came_back) {
    admit(1, start);
    grant(1, start);
    EXPECT_EQ(admit(2, start), allowance_verdict::waiting);
    const auto out = m_client.give_back(team, start);
    ASSERT_EQ(out.m_decided.size(), 1U);
    EXPECT_TRUE(out.m_decided[0].m_granted);
}

TEST_F(allowance_client_test, decides_without_an_owner_that_answers) {
    admit(1, start);
    std::size_t decided = 0;
    for (int ms = 5; ms <= 150; ms += 5)
        decided += m_client.tick(start + milliseconds{ms}).m_decided.size();
    EXPECT_EQ(decided, 1U);
    EXPECT_TRUE(m_client.alone(team));
    int granted = 0;
    for (int ms = 150; ms < 10000; ms += 10)
        granted += admit(1000U + ms, start + milliseconds{ms}) ==
                           allowance_verdict::granted
                       ? 1
                       : 0;
    // A share of a 64th or less until the entry knows that it reaches nobody,
    // a third of the limit then.
    EXPECT_GT(granted, 10);
    EXPECT_LT(granted, 100);
    grant(0, start + seconds{10});
    EXPECT_FALSE(m_client.alone(team));
}

TEST_F(allowance_client_test, cancels_requests_that_wait) {
    admit(1, start);
    m_client.cancel(team, 1);
    EXPECT_TRUE(grant(1, start).empty());
}

} // namespace
} // namespace skylark
