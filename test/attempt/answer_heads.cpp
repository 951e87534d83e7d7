// An attempt whose answer's head has come: it is the only one, and lost if it
// fails before there is something to pass on.
#include <skylark/attempt/machine.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const time_point start{seconds{1}};
const time_point deadline = start + milliseconds{100};
const verdict lost = may_have_run{attempt_step::response_started};

template <class Kind>
const Kind* find(const actions& list) {
    for (const action& item : list)
        if (const auto* found = std::get_if<Kind>(&item))
            return found;
    return nullptr;
}

// Its only attempt has received a head.
attempt_machine with_head(bool idempotent) {
    attempt_machine out{{idempotent, deadline}};
    out.attempt_started(attempt_id{1});
    EXPECT_TRUE(out.try_begin_send(attempt_id{1}, start));
    EXPECT_TRUE(out.head_received(attempt_id{1}).empty());
    return out;
}

} // namespace

TEST(answer_heads, an_answer_that_fails_behind_its_head_is_repeated) {
    auto subject = with_head(true);
    EXPECT_FALSE(subject.answer_has_begun());
    const auto list = subject.attempt_ended(attempt_id{1}, lost, start, true);
    EXPECT_TRUE(find<start_attempt>(list));
    EXPECT_FALSE(find<abort_answer>(list));
    EXPECT_TRUE(subject.may_start(start));
    subject.attempt_started(attempt_id{2});
    EXPECT_TRUE(subject.try_begin_send(attempt_id{2}, start));
    subject.head_received(attempt_id{2});
    EXPECT_TRUE(find<begin_answer>(subject.answer_begun(attempt_id{2})));
}

TEST(answer_heads, an_answer_that_fails_behind_its_head_may_have_run) {
    for (const bool idempotent : {false, true}) {
        auto subject = with_head(idempotent);
        const auto list =
            subject.attempt_ended(attempt_id{1}, lost, start, !idempotent);
        EXPECT_FALSE(find<start_attempt>(list));
        ASSERT_TRUE(find<refuse>(list));
        EXPECT_TRUE(std::holds_alternative<may_have_run>(
            find<refuse>(list)->m_verdict));
        EXPECT_FALSE(find<refuse>(list)->m_expired);
    }
}

TEST(answer_heads, the_first_head_cancels_the_hedge) {
    attempt_machine subject{{true, deadline}};
    subject.attempt_started(attempt_id{1});
    subject.try_begin_send(attempt_id{1}, start);
    subject.attempt_started(attempt_id{2});
    subject.try_begin_send(attempt_id{2}, start);
    const auto list = subject.head_received(attempt_id{2});
    ASSERT_TRUE(find<cancel_attempt>(list));
    EXPECT_EQ(find<cancel_attempt>(list)->m_attempt, attempt_id{1});
    EXPECT_FALSE(find<begin_answer>(list));
    EXPECT_TRUE(subject.answer_begun(attempt_id{1}).empty());
}

TEST(answer_heads, nothing_starts_beside_an_answer_whose_head_has_come) {
    auto subject = with_head(true);
    EXPECT_FALSE(subject.may_start(start));
    EXPECT_FALSE(subject.may_hedge(start));
}

TEST(answer_heads, a_head_without_a_body_ends_at_the_deadline) {
    for (const bool idempotent : {false, true}) {
        auto subject = with_head(idempotent);
        const auto list = subject.expired();
        EXPECT_TRUE(find<cancel_attempt>(list));
        EXPECT_FALSE(find<abort_answer>(list));
        ASSERT_TRUE(find<refuse>(list));
        EXPECT_TRUE(find<refuse>(list)->m_expired);
        EXPECT_TRUE(std::holds_alternative<may_have_run>(
            find<refuse>(list)->m_verdict));
    }
}

TEST(answer_heads, a_withdrawn_request_whose_head_has_come_continues) {
    auto subject = with_head(true);
    EXPECT_TRUE(subject.withdrawn().empty());
    EXPECT_TRUE(find<begin_answer>(subject.answer_begun(attempt_id{1})));
    EXPECT_TRUE(find<finish_answer>(
        subject.attempt_ended(attempt_id{1}, answered{}, start, false)));
}
