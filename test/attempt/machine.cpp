// A non-idempotent request runs at most once and "not run" is always true,
// over random orders of events against an upstream that keeps a ledger.
#include <skylark/attempt/machine.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include <skylark/core/random.hpp>

using namespace skylark;

namespace {

const time_point start{seconds{1}};
const time_point deadline = start + milliseconds{100};

attempt_machine machine(bool idempotent) {
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

TEST(attempt_machine, non_idempotent_is_not_repeated_in_doubt) {
    auto subject = machine(false);
    subject.started(attempt_id{1});
    EXPECT_TRUE(subject.sending(attempt_id{1}, start));
    const auto list = subject.ended(attempt_id{1}, lost, start, true);
    EXPECT_FALSE(find<start_attempt>(list));
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_EQ(find<refuse>(list)->m_verdict, lost);
}

TEST(attempt_machine, non_idempotent_is_repeated_after_a_proof) {
    auto subject = machine(false);
    subject.started(attempt_id{1});
    EXPECT_TRUE(subject.sending(attempt_id{1}, start));
    const auto list = subject.ended(attempt_id{1}, shed, start, false);
    EXPECT_TRUE(find<start_attempt>(list));
    EXPECT_TRUE(subject.may_start(start));
}

TEST(attempt_machine, never_hedges_non_idempotent) {
    auto subject = machine(false);
    subject.started(attempt_id{1});
    EXPECT_FALSE(subject.may_hedge(start));
    EXPECT_FALSE(subject.may_start(start));
}

TEST(attempt_machine, writes_nothing_past_the_deadline) {
    auto subject = machine(true);
    subject.started(attempt_id{1});
    EXPECT_FALSE(subject.sending(attempt_id{1}, deadline));
    const auto list = subject.ended(
        attempt_id{1}, not_run{not_run_proof::no_byte_sent}, deadline, true);
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_TRUE(find<refuse>(list)->m_expired);
}

TEST(attempt_machine, a_proof_does_not_outweigh_an_earlier_doubt) {
    auto subject = machine(true);
    subject.started(attempt_id{1});
    subject.sending(attempt_id{1}, start);
    EXPECT_TRUE(
        find<start_attempt>(subject.ended(attempt_id{1}, lost, start, true)));
    subject.started(attempt_id{2});
    const auto list = subject.ended(attempt_id{2}, shed, deadline, true);
    ASSERT_TRUE(find<refuse>(list));
    EXPECT_TRUE(
        std::holds_alternative<may_have_run>(find<refuse>(list)->m_verdict));
}

TEST(attempt_machine, first_answer_cancels_the_hedge) {
    auto subject = machine(true);
    subject.started(attempt_id{1});
    subject.sending(attempt_id{1}, start);
    EXPECT_TRUE(subject.may_hedge(start));
    subject.started(attempt_id{2});
    subject.sending(attempt_id{2}, start);
    const auto list = subject.answer_begun(attempt_id{2});
    ASSERT_TRUE(find<cancel_attempt>(list));
    EXPECT_EQ(find<cancel_attempt>(list)->m_attempt, attempt_id{1});
    EXPECT_TRUE(find<begin_answer>(list));
    EXPECT_TRUE(subject.answer_begun(attempt_id{1}).empty());
}

TEST(attempt_machine, a_cut_answer_is_broken_not_finished) {
    auto subject = machine(true);
    subject.started(attempt_id{1});
    subject.sending(attempt_id{1}, start);
    subject.answer_begun(attempt_id{1});
    const verdict cut = may_have_run{attempt_step::response_started};
    const auto list = subject.ended(attempt_id{1}, cut, start, true);
    EXPECT_TRUE(find<break_answer>(list));
    EXPECT_FALSE(find<start_attempt>(list));
    EXPECT_FALSE(find<finish_answer>(list));
}

namespace {

// Random upstreams and callers around one machine, with a ledger.
class random_run {
public:
    random_run(std::uint64_t seed, bool idempotent)
        : m_random{seed}, m_idempotent{idempotent}, m_machine{
                                                        machine(idempotent)} {}

    void run() {
        constexpr int steps = 40;
        follow({start_attempt{}});
        for (int i = 0; i < steps && !m_machine.done() && m_now < deadline; ++i)
            step();
        follow(m_machine.expired());
    }

    int m_executions{};
    bool m_told_not_run{};
    bool m_told_answered{};
    int m_told{};

private:
    struct running {
        attempt_id m_id;
        bool m_sent{};
    };

    void step() {
        m_now += milliseconds{m_random(10)};
        if (m_running.empty() || m_random(6) == 0) {
            if (m_machine.may_hedge(m_now) ||
                (m_wanted && m_machine.may_start(m_now)))
                begin();
            else if (m_wanted && m_random(4) == 0)
                follow(m_machine.rejected());
            return;
        }
        running& chosen = m_running[m_random(m_running.size())];
        if (!chosen.m_sent)
            send_or_fail(chosen);
        else if (m_random(3) == 0)
            end(chosen); // others are still at work
    }

    void begin() {
        m_wanted = false;
        const attempt_id id{++m_last};
        m_machine.started(id);
        m_running.push_back({id});
    }

    void send_or_fail(running& chosen) {
        const bool connects = m_random(4) != 0;
        if (connects && m_machine.sending(chosen.m_id, m_now)) {
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
            m_executions += m_random(2) == 0 ? 1 : 0; // nobody can tell
            finish(id, lost);
            break;
        default:
            ++m_executions;
            follow(m_machine.answer_begun(id));
            finish(id,
                   m_random(5) == 0
                       ? verdict{may_have_run{attempt_step::response_started}}
                       : verdict{answered{}});
        }
    }

    void finish(attempt_id id, const verdict& how) {
        std::erase_if(m_running,
                      [&](const running& item) { return item.m_id == id; });
        follow(m_machine.ended(id, how, m_now, m_random(2) == 0));
    }

    void follow(const actions& list) {
        for (const action& item : list) {
            if (std::holds_alternative<start_attempt>(item))
                m_wanted = true;
            if (const auto* what = std::get_if<cancel_attempt>(&item))
                cancelled(what->m_attempt);
            if (const auto* what = std::get_if<refuse>(&item)) {
                ++m_told;
                m_told_not_run =
                    std::holds_alternative<not_run>(what->m_verdict);
            }
            if (std::holds_alternative<finish_answer>(item)) {
                ++m_told;
                m_told_answered = true;
            }
            if (std::holds_alternative<break_answer>(item))
                ++m_told;
        }
    }

    void cancelled(attempt_id id) {
        std::erase_if(m_running, [&](const running& item) {
            const bool match = item.m_id == id;
            if (match && item.m_sent && m_random(2) == 0)
                ++m_executions; // the cancellation came too late
            return match;
        });
    }

    random_source m_random;
    bool m_idempotent;
    attempt_machine m_machine;
    std::vector<running> m_running;
    std::uint64_t m_last{};
    time_point m_now{start};
    bool m_wanted{};
};

} // namespace

TEST(attempt_machine, random_orders_keep_the_promises) {
    constexpr std::uint64_t runs = 20000;
    std::uint64_t answered_runs = 0;
    std::uint64_t refused_runs = 0;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        const bool idempotent = seed % 2 == 0;
        random_run subject{seed, idempotent};
        subject.run();
        SCOPED_TRACE("seed " + std::to_string(seed));
        ASSERT_EQ(subject.m_told, 1) << "one ending for the caller";
        if (!idempotent) {
            ASSERT_LE(subject.m_executions, 1);
        }
        if (subject.m_told_not_run) {
            ASSERT_EQ(subject.m_executions, 0);
        }
        if (subject.m_told_answered) {
            ASSERT_GE(subject.m_executions, 1);
        }
        answered_runs += subject.m_told_answered ? 1 : 0;
        refused_runs += subject.m_told_not_run ? 1 : 0;
    }
    // The runs reach both ends often, so the checks above had work to do.
    EXPECT_GT(answered_runs, runs / 10);
    EXPECT_GT(refused_runs, runs / 100);
}
