// Which entry lends, and how much.
#include <skylark/allowance/lender.hpp>

#include <gtest/gtest.h>

namespace skylark {
namespace {

constexpr std::uint64_t team = 77;
const time_point start{seconds{100}};

class allowance_lender_test : public testing::Test {
protected:
    allowance_lender_test() {
        const auto order = allowance_view::rank(team, m_all);
        m_view.m_self = order.m_first;
        m_rival = order.m_second;
        m_view.m_live = m_view.m_known = m_all;
        m_view.m_settled = true;
        set_limit(10.0, 20.0, start);
        m_lender.set_view(m_view, start);
    }

    void set_limit(double rate, double burst, time_point now) {
        const team_limit limit{team, rate, burst};
        m_lender.configure({&limit, 1}, now);
    }

    // Tokens that a question brings; none if it is not answered with a grant.
    std::uint32_t ask(std::uint32_t count, time_point now,
                      std::uint32_t ahead = 0) {
        allowance_message question;
        question.m_team = team;
        question.m_from = m_asker;
        question.m_sequence = ++m_sequence;
        question.m_count = count;
        question.m_ahead = ahead;
        m_last = question;
        return repeat(now);
    }

    std::uint32_t repeat(time_point now) {
        for (const auto& item : m_lender.received(m_last, now))
            if (item.m_message.m_kind == allowance_kind::grant)
                return (m_answer = item.m_message).m_count;
        return 0;
    }

    void rival_yields(std::uint32_t tokens, time_point now) {
        allowance_message reply;
        reply.m_kind = allowance_kind::yield_reply;
        reply.m_team = team;
        reply.m_from = m_rival;
        reply.m_yielded = true;
        reply.m_count = tokens;
        m_lender.received(reply, now);
    }

    void begin(time_point now) {
        ask(1, now);
        rival_yields(0, now);
    }

    std::vector<entry_id> m_all{entry_id{1}, entry_id{2}, entry_id{3},
                                entry_id{4}};
    entry_id m_asker{3};
    entry_id m_rival;
    allowance_view m_view;
    allowance_lender m_lender;
    std::uint64_t m_sequence{};
    allowance_message m_last;
    allowance_message m_answer;
};

// A new owner must not add to what the former one has lent.
TEST_F(allowance_lender_test, waits_for_its_rival_and_begins_empty) {
    EXPECT_EQ(ask(5, start), 0U);
    EXPECT_EQ(m_lender.lending(), 0U);
    rival_yields(0, start);
    EXPECT_EQ(m_lender.lending(), 1U);
    EXPECT_EQ(ask(5, start), 0U);
    EXPECT_EQ(ask(50, start + seconds{1}), 10U);
}

// Guards against a refusal of the first requests of a team that was idle.
TEST_F(allowance_lender_test, saves_tokens_while_nobody_lends) {
    const time_point later = start + seconds{4}; // 3 s until all agree
    ask(12, later);
    rival_yields(0, later);
    EXPECT_EQ(repeat(later), 10U);
    const time_point idle = start + seconds{60};
    m_lender = {};
    set_limit(10.0, 20.0, start);
    m_lender.set_view(m_view, start);
    ask(30, idle);
    rival_yields(0, idle);
    EXPECT_EQ(repeat(idle), 20U);
}

// Guards against a deployment of one entry that gets a part of its limits, as
// if others had to be reckoned with.
TEST_F(allowance_lender_test, lends_the_whole_limit_in_a_deployment_of_one) {
    m_view.m_live = m_view.m_known = {m_view.m_self};
    m_view.m_settled = false;
    m_view.m_single = true;
    m_lender.set_view(m_view, start);
    EXPECT_EQ(ask(1, start), 0U);
    EXPECT_EQ(ask(30, start + seconds{1}), 10U);
}

// Guards against tokens that two lenders lend for the same time.
TEST_F(allowance_lender_test, saves_none_while_another_one_may_have_lent) {
    const time_point later = start + seconds{60};
    m_view.m_settled = false;
    m_lender.set_view(m_view, later - seconds{1});
    m_view.m_settled = true;
    m_lender.set_view(m_view, later);
    ask(5, later + seconds{1});
    rival_yields(0, later + seconds{1});
    EXPECT_EQ(repeat(later + seconds{1}), 0U);
}

TEST_F(allowance_lender_test, takes_over_what_is_left) {
    ask(1, start);
    rival_yields(7, start);
    EXPECT_EQ(ask(50, start), 7U);
}

TEST_F(allowance_lender_test, lends_little_while_its_rival_is_silent) {
    ask(1, start);
    ask(1, start + milliseconds{25});
    const std::uint32_t interim = ask(500, start + milliseconds{50});
    EXPECT_GT(interim, 0U);
    EXPECT_LT(interim, 20U);
    // By then all members know whether the rival lives.
    ask(0, start + seconds{4});
    EXPECT_EQ(m_lender.lending(), 1U);
}

// Guards against a token that is lent twice when its grant was lost.
TEST_F(allowance_lender_test, repeats_its_answer_to_a_retry) {
    begin(start);
    EXPECT_EQ(ask(6, start + seconds{1}), 6U);
    EXPECT_EQ(repeat(start + milliseconds{1025}), 6U);
    EXPECT_EQ(ask(50, start + milliseconds{1025}), 4U);
}

TEST_F(allowance_lender_test, cuts_its_bucket_to_a_lower_burst_at_once) {
    begin(start);
    set_limit(10.0, 3.0, start + seconds{2});
    EXPECT_EQ(ask(50, start + seconds{2}), 3U);
    EXPECT_GT(m_answer.m_room_in, duration{0});
    EXPECT_GT(m_answer.m_quiet, duration{0});
}

// Tokens that may still be used count with the bucket's content.
TEST_F(allowance_lender_test, does_not_lend_the_burst_twice) {
    begin(start);
    const time_point full = start + seconds{5};
    const std::uint32_t ahead = ask(0, full, 100);
    EXPECT_GT(ahead, 0U);
    EXPECT_LE(ask(50, full + milliseconds{900}) + ahead, 20U);
}

// Both sides of a partition together stay within the limit.
TEST_F(allowance_lender_test, lends_the_part_of_the_members_it_hears) {
    begin(start);
    m_view.m_live = {m_view.m_self, m_rival};
    m_lender.set_view(m_view, start + seconds{1});
    ask(50, start + seconds{1});
    EXPECT_EQ(ask(50, start + seconds{2}), 5U);
}

TEST_F(allowance_lender_test, hands_over_to_a_better_member) {
    begin(start);
    ask(0, start + seconds{2});
    entry_id better;
    for (std::uint64_t i = 5; !better; ++i)
        if (rendezvous(team, i) > rendezvous(team, m_view.m_self.value()))
            better = entry_id{i};
    m_view.m_live.push_back(better);
    m_view.m_known.push_back(better);
    const auto sent = m_lender.set_view(m_view, start + seconds{2});
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].m_to, better);
    EXPECT_EQ(sent[0].m_message.m_count, 20U);
    EXPECT_EQ(ask(5, start + seconds{2}), 0U);
    EXPECT_EQ(m_answer.m_owner, better);
}

} // namespace
} // namespace skylark
