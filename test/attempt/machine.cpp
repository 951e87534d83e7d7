// A non-idempotent request runs at most once and "not run" is reported only if
// it is true. Checked for single event sequences and for random ones, with a
// simulated upstream that counts executions.
#include <skylark/attempt/machine.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include <skylark/core/random.hpp>

using namespace skylark;

namespace {

const time_point start{seconds{1}};
const time_point deadline = start + milliseconds{100};

attempt_machine make_machine(bool idempotent) {
    return attempt_machine{{idempotent, deadline}};
}

template <class Kind>
const Kind* find(const actions& list) {
    for (const action& item : list)
        if (const auto* found = std::get_if<Kind>(&item))
            return found;
    return nullptr;
}

const verdict lost = may_have_run{attempt_step::request_sent};
const verdict shed = not_run{not_run_proof::upstream_refused};

} // namespace

TEST(attempt_machine, non_idempotent_is_not_repeated_if_it_may_have_run) {
    auto subject = make_machine(false);
    subject.attempt_started(attempt_id{1});
    EXPECT_TRUE(subject.try_begin_send(attempt_id{1}, start));
    const auto list = subject.attempt_ended(attempt_id{1}, lost, start, true);
    EXPECT_FALSE(find<start_attempt>(list));
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_EQ(find<refuse>(list)->m_verdict, lost);
}

TEST(attempt_machine, non_idempotent_is_repeated_if_proven_not_run) {
    auto subject = make_machine(false);
    subject.attempt_started(attempt_id{1});
    EXPECT_TRUE(subject.try_begin_send(attempt_id{1}, start));
    const auto list = subject.attempt_ended(attempt_id{1}, shed, start, false);
    EXPECT_TRUE(find<start_attempt>(list));
    EXPECT_TRUE(subject.may_start(start));
}

TEST(attempt_machine, never_hedges_non_idempotent) {
    auto subject = make_machine(false);
    subject.attempt_started(attempt_id{1});
    EXPECT_FALSE(subject.may_hedge(start));
    EXPECT_FALSE(subject.may_start(start));
}

TEST(attempt_machine, sends_nothing_past_the_deadline) {
    auto subject = make_machine(true);
    subject.attempt_started(attempt_id{1});
    EXPECT_FALSE(subject.try_begin_send(attempt_id{1}, deadline));
    const auto list = subject.attempt_ended(
        attempt_id{1}, not_run{not_run_proof::no_byte_sent}, deadline, true);
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_TRUE(find<refuse>(list)->m_expired);
}

TEST(attempt_machine, a_later_proof_does_not_override_may_have_run) {
    auto subject = make_machine(true);
    subject.attempt_started(attempt_id{1});
    subject.try_begin_send(attempt_id{1}, start);
    EXPECT_TRUE(find<start_attempt>(
        subject.attempt_ended(attempt_id{1}, lost, start, true)));
    subject.attempt_started(attempt_id{2});
    const auto list =
        subject.attempt_ended(attempt_id{2}, shed, deadline, true);
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_TRUE(
        std::holds_alternative<may_have_run>(find<refuse>(list)->m_verdict));
}

TEST(attempt_machine, first_answer_cancels_the_hedge) {
    auto subject = make_machine(true);
    subject.attempt_started(attempt_id{1});
    subject.try_begin_send(attempt_id{1}, start);
    EXPECT_TRUE(subject.may_hedge(start));
    subject.attempt_started(attempt_id{2});
    subject.try_begin_send(attempt_id{2}, start);
    const auto list = subject.answer_begun(attempt_id{2});
    ASSERT_TRUE(find<cancel_attempt>(list));
    EXPECT_EQ(find<cancel_attempt>(list)->m_attempt, attempt_id{1});
    EXPECT_TRUE(find<begin_answer>(list));
    EXPECT_TRUE(subject.answer_begun(attempt_id{1}).empty());
}

TEST(attempt_machine, a_truncated_answer_is_aborted_not_finished) {
    auto subject = make_machine(true);
    subject.attempt_started(attempt_id{1});
    subject.try_begin_send(attempt_id{1}, start);
    subject.answer_begun(attempt_id{1});
    const verdict truncated = may_have_run{attempt_step::response_started};
    const auto list =
        subject.attempt_ended(attempt_id{1}, truncated, start, true);
    EXPECT_TRUE(find<abort_answer>(list));
    EXPECT_FALSE(find<start_attempt>(list));
    EXPECT_FALSE(find<finish_answer>(list));
}

namespace {

// Random sequence of upstream and caller events for one machine. Counts the
// executions and the outcomes reported to the caller.
class random_run {
public:
    random_run(std::uint64_t seed, bool idempotent)
        : m_random{seed}, m_idempotent{idempotent}, m_machine{make_machine(
                                                        idempotent)} {}

    void run() {
        constexpr int steps = 40;
        apply({start_attempt{}});
        for (int i = 0; i < steps && !m_machine.done() && m_now < deadline; ++i)
            step();
        apply(m_machine.expired());
    }

    int m_executions{};
    bool m_reported_not_run{};
    bool m_reported_answered{};
    int m_outcomes{};

private:
    struct running {
        attempt_id m_id;
        bool m_sent{};
    };

    void step() {
        m_now += milliseconds{m_random(10)};
        if (m_random(40) == 0)
            apply(m_machine.withdrawn());
        if (m_running.empty() || m_random(6) == 0) {
            if (m_machine.may_hedge(m_now) ||
                (m_attempt_wanted && m_machine.may_start(m_now)))
                begin();
            else if (m_attempt_wanted && m_random(4) == 0)
                apply(m_machine.rejected());
            return;
        }
        running& chosen = m_running[m_random(m_running.size())];
        if (!chosen.m_sent)
            send_or_fail(chosen);
        else if (m_random(4) == 0)
            apply(m_machine.head_received(chosen.m_id));
        else if (m_random(3) == 0)
            end(chosen); // otherwise it keeps running
    }

    void begin() {
        m_attempt_wanted = false;
        const attempt_id id{++m_last};
        m_machine.attempt_started(id);
        m_running.push_back({id});
    }

    void send_or_fail(running& chosen) {
        const bool connects = m_random(4) != 0;
        if (connects && m_machine.try_begin_send(chosen.m_id, m_now)) {
            chosen.m_sent = true;
            return;
        }
        finish(chosen.m_id, not_run{not_run_proof::connect_failed});
    }

    void end(const running& chosen) {
        const attempt_id id = chosen.m_id;
        switch (m_random(4)) {
        case 0:
            finish(id, shed);
            break;
        case 1:
            m_executions += m_random(2) == 0 ? 1 : 0; // may have run
            finish(id, lost);
            break;
        default:
            ++m_executions;
            apply(m_machine.answer_begun(id));
            finish(id,
                   m_random(5) == 0
                       ? verdict{may_have_run{attempt_step::response_started}}
                       : verdict{answered{}});
        }
    }

    void finish(attempt_id id, const verdict& how) {
        std::erase_if(m_running,
                      [&](const running& item) { return item.m_id == id; });
        apply(m_machine.attempt_ended(id, how, m_now, m_random(2) == 0));
    }

    void apply(const actions& list) {
        for (const action& item : list) {
            if (std::holds_alternative<start_attempt>(item))
                m_attempt_wanted = true;
            if (const auto* what = std::get_if<cancel_attempt>(&item))
                cancelled(what->m_attempt);
            if (const auto* what = std::get_if<refuse>(&item)) {
                ++m_outcomes;
                m_reported_not_run =
                    std::holds_alternative<not_run>(what->m_verdict);
            }
            if (std::holds_alternative<finish_answer>(item)) {
                ++m_outcomes;
                m_reported_answered = true;
            }
            if (std::holds_alternative<abort_answer>(item))
                ++m_outcomes;
        }
    }

    void cancelled(attempt_id id) {
        std::erase_if(m_running, [&](const running& item) {
            const bool match = item.m_id == id;
            if (match && item.m_sent && m_random(2) == 0)
                ++m_executions; // executed before the cancellation arrived
            return match;
        });
    }

    random_source m_random;
    bool m_idempotent;
    attempt_machine m_machine;
    std::vector<running> m_running;
    std::uint64_t m_last{};
    time_point m_now{start};
    bool m_attempt_wanted{};
};

} // namespace

TEST(attempt_machine, a_withdrawn_request_that_was_not_sent_is_refused) {
    auto queued = make_machine(false);
    const auto refused = queued.withdrawn();
    ASSERT_TRUE(find<refuse>(refused));
    EXPECT_TRUE(
        std::holds_alternative<not_run>(find<refuse>(refused)->m_verdict));
    auto connecting = make_machine(false);
    connecting.attempt_started(attempt_id{1});
    const auto list = connecting.withdrawn();
    EXPECT_TRUE(find<cancel_attempt>(list));
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_TRUE(std::holds_alternative<not_run>(find<refuse>(list)->m_verdict));
    EXPECT_FALSE(connecting.try_begin_send(attempt_id{1}, start));
}

TEST(attempt_machine, a_withdrawn_request_that_was_sent_gets_its_answer) {
    auto subject = make_machine(true);
    subject.attempt_started(attempt_id{1});
    ASSERT_TRUE(subject.try_begin_send(attempt_id{1}, start));
    subject.attempt_started(attempt_id{2});
    const auto list = subject.withdrawn();
    ASSERT_TRUE(find<cancel_attempt>(list));
    EXPECT_EQ(find<cancel_attempt>(list)->m_attempt, attempt_id{2});
    EXPECT_FALSE(find<refuse>(list));
    EXPECT_FALSE(subject.may_start(start));
    EXPECT_TRUE(find<begin_answer>(subject.answer_begun(attempt_id{1})));
}

TEST(attempt_machine, an_abandoned_request_that_was_sent_may_have_run) {
    auto connecting = make_machine(true);
    connecting.attempt_started(attempt_id{1});
    connecting.abandoned();
    EXPECT_TRUE(std::holds_alternative<not_run>(connecting.overall_verdict()));
    auto sent = make_machine(true);
    sent.attempt_started(attempt_id{1});
    sent.try_begin_send(attempt_id{1}, start);
    sent.abandoned();
    EXPECT_TRUE(std::holds_alternative<may_have_run>(sent.overall_verdict()));
}

TEST(attempt_machine, random_event_orders_keep_the_guarantees) {
    constexpr std::uint64_t runs = 20000;
    std::uint64_t answered_runs = 0;
    std::uint64_t refused_runs = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const bool idempotent = seed % 2 == 0;
        random_run subject{seed, idempotent};
        subject.run();
        SCOPED_TRACE("seed " + std::to_string(seed));
        ASSERT_EQ(subject.m_outcomes, 1)
            << "the caller gets exactly one outcome";
        if (!idempotent) {
            ASSERT_LE(subject.m_executions, 1);
        }
        if (subject.m_reported_not_run) {
            ASSERT_EQ(subject.m_executions, 0);
        }
        if (subject.m_reported_answered) {
            ASSERT_GE(subject.m_executions, 1);
        }
        answered_runs += subject.m_reported_answered ? 1 : 0;
        refused_runs += subject.m_reported_not_run ? 1 : 0;
    }
    // Both outcomes occur often enough for the checks above to be meaningful.
    EXPECT_GT(answered_runs, runs / 10);
    EXPECT_GT(refused_runs, runs / 100);
}
