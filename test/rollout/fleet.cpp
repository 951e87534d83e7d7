// A roll-out over many entries in virtual time: each has its own ledger, judge
// and draw, and the sums travel late and with losses.
#include <cmath>
#include <random>

#include <gtest/gtest.h>

#include <skylark/core/random.hpp>
#include <skylark/rollout/ledger.hpp>
#include <skylark/rollout/plan.hpp>

using namespace skylark;

namespace {

constexpr duration total = seconds{60};
constexpr duration tick = milliseconds{100};
constexpr double requests_per_s = 770.0;
constexpr int route_count = 4;

enum class kind : std::uint8_t { good, failing, late, one_route, slow };

struct scenario {
    std::size_t m_entries{};
    kind m_kind{};
    double m_loss{0.1};      // of reports
    duration m_store_down{}; // from the start on
    duration m_killed{};     // the coordinator dies then; 0: never
    std::uint64_t m_seed{1};
};

struct result {
    rollout_stage m_stage{rollout_stage::ordered};
    duration m_final_at{};
    std::uint64_t m_requests{};
    std::uint64_t m_target{};
    std::uint64_t m_bad{};
    duration m_fiftieth_at{duration::max()};
    duration m_last_target{};
};

struct node {
    exposure m_own;
    exposure_ledger m_ledger;
    rollout_judge m_judge;
    rollout_verdict m_verdict{};
    bool m_alive{true};
};

class fleet {
public:
    explicit fleet(const scenario& of)
        : m_scenario{of}, m_random{of.m_seed}, m_nodes(of.m_entries) {}

    result run() {
        for (m_at = duration{0}; m_at < total + seconds{5}; m_at += tick) {
            if (m_scenario.m_killed > duration{0} &&
                m_at >= m_scenario.m_killed)
                m_nodes.front().m_alive = false;
            send_requests();
            if (m_at % milliseconds{400} == duration{0})
                exchange();
            judge();
            write();
        }
        return m_result;
    }

private:
    double draw() { return std::ldexp(m_random(), -32); }

    [[nodiscard]] bool is_bad(int route) {
        switch (m_scenario.m_kind) {
        case kind::good:
            return draw() < 0.002;
        case kind::late:
            return m_at > seconds{20} && draw() < 0.3;
        case kind::one_route:
            return route == 0 && draw() < 0.5;
        case kind::failing:
        case kind::slow:
            break;
        }
        return draw() < 0.3;
    }

    void send_requests() {
        std::poisson_distribution<int> arrivals{
            requests_per_s * std::chrono::duration<double>{tick}.count()};
        const int count = arrivals(m_random);
        for (int i = 0; i < count; ++i) {
            node& at =
                m_nodes[m_random(static_cast<std::uint32_t>(m_nodes.size()))];
            if (at.m_alive)
                send_one(at);
        }
    }

    void send_one(node& at) {
        const auto plan = plan_traffic(m_result.m_stage, at.m_verdict,
                                       at.m_ledger.total(), times());
        const bool target =
            plan.m_target_allowed && draw() < plan.m_target_share;
        const int route = static_cast<int>(m_random(route_count));
        ++at.m_own.m_requests;
        m_result.m_requests += m_at < total ? 1 : 0;
        route_exposure& here =
            at.m_own.on_route(static_cast<std::uint32_t>(route));
        if (!target) {
            ++here.m_earlier.m_responses;
            here.m_earlier.m_failures += draw() < 0.002 ? 1 : 0;
            return;
        }
        ++m_result.m_target;
        ++at.m_own.m_target_requests;
        ++here.m_target.m_responses;
        m_result.m_last_target = m_at;
        if (!is_bad(route))
            return;
        if (m_scenario.m_kind == kind::slow)
            ++here.m_target.m_slow;
        else
            ++here.m_target.m_failures;
        at.m_own.m_bad_upstreams |= 1U << m_random(4);
        if (++m_result.m_bad == 50)
            m_result.m_fiftieth_at = m_at;
    }

    // The first two live nodes are the relays; the others get sums.
    void exchange() {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            node& from = m_nodes[i];
            if (!from.m_alive)
                continue;
            ++from.m_own.m_sequence;
            from.m_own.m_elapsed = m_at;
            from.m_own.m_bad = from.m_verdict == rollout_verdict::bad;
            from.m_ledger.report({entry_id{i}, 1}, from.m_own);
            for (std::size_t relay = 0;
                 relay < std::min<std::size_t>(2, m_nodes.size()); ++relay)
                if (draw() >= m_scenario.m_loss)
                    m_nodes[relay].m_ledger.report({entry_id{i}, 1},
                                                   from.m_own);
        }
        for (std::size_t relay = 0;
             relay < std::min<std::size_t>(2, m_nodes.size()); ++relay)
            for (node& to : m_nodes)
                if (m_nodes[relay].m_alive && draw() >= m_scenario.m_loss)
                    to.m_ledger.sum_report(m_nodes[relay].m_ledger.total());
    }

    void judge() {
        for (node& at : m_nodes)
            if (at.m_alive)
                at.m_verdict = at.m_judge.judge(at.m_ledger.total(), times(),
                                                time_point{} + m_at);
    }

    void write() {
        for (const node& at : m_nodes) {
            if (!at.m_alive)
                continue;
            const auto next = plan_write({m_result.m_stage, at.m_verdict,
                                          times(), times().passed(0.85)});
            if (next && m_at >= m_scenario.m_store_down) {
                m_result.m_stage = *next;
                if (is_final(*next))
                    m_result.m_final_at = m_at;
            }
            return; // only the first live node is the coordinator
        }
    }

    [[nodiscard]] rollout_times times() const { return {m_at, total}; }

    scenario m_scenario;
    random_source m_random;
    std::vector<node> m_nodes;
    duration m_at{};
    result m_result;
};

void expect_bad_is_bounded(const result& got) {
    EXPECT_EQ(got.m_stage, rollout_stage::rolled_back);
    EXPECT_LE(static_cast<double>(got.m_target),
              0.1 * static_cast<double>(got.m_requests) + 50);
    if (got.m_fiftieth_at != duration::max()) {
        EXPECT_LE(got.m_last_target, got.m_fiftieth_at + seconds{5});
    }
}

class rollout_fleet : public testing::TestWithParam<std::size_t> {};

} // namespace

TEST_P(rollout_fleet, completes_a_good_version_by_the_deadline) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        const auto got =
            fleet{{GetParam(), kind::good, 0.1, {}, {}, seed}}.run();
        EXPECT_EQ(got.m_stage, rollout_stage::completed) << seed;
        EXPECT_LE(got.m_final_at, total);
    }
}

TEST_P(rollout_fleet, bounds_the_exposure_to_bad_versions) {
    for (const kind what :
         {kind::failing, kind::late, kind::one_route, kind::slow})
        for (std::uint64_t seed = 1; seed <= 3; ++seed)
            expect_bad_is_bounded(
                fleet{{GetParam(), what, 0.1, {}, {}, seed}}.run());
}

// Without the store the verdict takes effect, and is recorded later.
TEST_P(rollout_fleet, bounds_it_while_the_store_is_down) {
    expect_bad_is_bounded(
        fleet{{GetParam(), kind::failing, 0.1, seconds{40}}}.run());
}

// Whoever follows the coordinator reaches the same decision.
TEST_P(rollout_fleet, survives_the_coordinator) {
    if (GetParam() == 1)
        return;
    for (const duration killed : {seconds{1}, seconds{30}, seconds{37}}) {
        const scenario good{GetParam(), kind::good, 0.1, {}, killed};
        EXPECT_EQ(fleet{good}.run().m_stage, rollout_stage::completed);
        const scenario bad{GetParam(), kind::late, 0.1, {}, killed};
        expect_bad_is_bounded(fleet{bad}.run());
    }
}

INSTANTIATE_TEST_SUITE_P(entries, rollout_fleet, testing::Values(1, 14, 144));
