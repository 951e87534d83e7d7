// Exposures between entries: who gets which, and what a finding does elsewhere.
#include "entry/rollouts.hpp"

#include <gtest/gtest.h>

#include "entry/context.hpp"

using namespace skylark;

namespace {

// An entry without sockets, whose document holds an order.
class silent_entry {
public:
    silent_entry(io::event_loop& loop, const std::string& name)
        : m_shared{loop, settings_of(name)} {
        adopt(rollout_stage::canary);
    }

    void adopt(rollout_stage stage, const std::string& version = "v2") {
        document out;
        out.m_services.emplace_back();
        out.m_services[0].m_name = "stock";
        rollout_order order{"stock", version, seconds{60}, 5, stage};
        out.m_rollouts = {order};
        m_shared.m_config.offer({++m_revision, 1}, format_document(out),
                                io::event_loop::now());
        m_shared.m_rollouts.adopt();
    }

    entry::rollouts& rollouts() { return m_shared.m_rollouts; }
    entry::rollout_state& state() { return rollouts().all().at("stock"); }
    const member_record& record() { return m_shared.m_fleet.self_record(); }

    void request(int count) {
        random_source random{1};
        for (int i = 0; i < count; ++i)
            rollouts().draw("stock", random);
        rollouts().judge();
    }

    // Its heartbeat with reports of a scope on other entries.
    heartbeat beat(subscription scope = subscription::nothing,
                   const std::vector<silent_entry*>& reported = {}) {
        outgoing_heartbeat out;
        out.m_scope = scope;
        out.m_message.m_sender = record();
        for (silent_entry* item : reported)
            out.m_message.m_reports.push_back({item->record().m_name});
        rollouts().add_to(out);
        return out.m_message;
    }

    std::uint64_t total() {
        rollouts().judge();
        return state().m_ledger.total().m_requests;
    }

private:
    static entry::settings settings_of(const std::string& name) {
        entry::settings out;
        out.m_name = name;
        out.m_zone = "a";
        out.m_log_level = "off";
        out.m_deployment = entry::deployment::platform;
        return out;
    }

    entry::context m_shared;
    std::uint64_t m_revision{};
};

class rollouts_between_entries : public testing::Test {
protected:
    io::event_loop m_loop;
    silent_entry m_member{m_loop, "member"};
    silent_entry m_relay{m_loop, "relay"};
    silent_entry m_far_relay{m_loop, "far"};
    silent_entry m_other{m_loop, "other"};
};

} // namespace

// Member to relay, relay to the relay of another zone, that one to its members.
TEST_F(rollouts_between_entries, counts_reach_all_and_count_once) {
    m_member.request(7);
    m_relay.request(1);
    for (int i = 0; i < 3; ++i) {
        m_relay.rollouts().heard(m_member.beat());
        m_far_relay.rollouts().heard(
            m_relay.beat(subscription::zone, {&m_member}));
        m_other.rollouts().heard(m_far_relay.beat(subscription::fleet));
        // A relay's report names its receivers too.
        m_member.rollouts().heard(
            m_relay.beat(subscription::fleet, {&m_member}));
    }
    EXPECT_EQ(m_relay.total(), 8U);
    EXPECT_EQ(m_far_relay.total(), 8U);
    m_other.rollouts().heard(m_far_relay.beat(subscription::fleet));
    EXPECT_EQ(m_other.total(), 8U);
    EXPECT_EQ(m_member.total(), 8U);
}

// The bound on late requests is on all entries together.
TEST_F(rollouts_between_entries, a_finding_stops_the_version_everywhere) {
    EXPECT_TRUE(m_other.state().m_plan.m_target_allowed);
    m_member.state().m_own.m_bad_upstreams = 0b11;
    m_member.state().m_own.on_route(1).m_target = {20, 20};
    EXPECT_TRUE(m_member.rollouts().judge());
    EXPECT_FALSE(m_member.rollouts().judge()); // told once
    m_relay.rollouts().heard(m_member.beat());
    m_relay.rollouts().judge();
    m_far_relay.rollouts().heard(m_relay.beat());
    m_far_relay.rollouts().judge();
    m_other.rollouts().heard(m_far_relay.beat(subscription::fleet));
    EXPECT_TRUE(m_other.rollouts().judge());
    EXPECT_FALSE(m_other.state().m_plan.m_target_allowed);
}

// The finding is on one version; the next one starts over.
TEST_F(rollouts_between_entries, another_version_starts_over) {
    m_member.state().m_own.m_bad_upstreams = 0b11;
    m_member.state().m_own.on_route(1).m_target = {20, 20};
    m_member.rollouts().judge();
    m_other.adopt(rollout_stage::canary, "v3");
    m_other.rollouts().heard(m_member.beat(subscription::fleet));
    m_other.rollouts().judge();
    EXPECT_TRUE(m_other.state().m_plan.m_target_allowed);
    m_member.adopt(rollout_stage::ordered, "v3");
    EXPECT_TRUE(m_member.state().m_plan.m_target_allowed);
    EXPECT_EQ(m_member.state().m_own.m_requests, 0U);
}

// Heartbeats return to their usual size at the end.
TEST_F(rollouts_between_entries, nothing_is_sent_after_the_last_stage) {
    m_member.request(3);
    EXPECT_FALSE(m_member.beat().m_exposures.empty());
    m_member.adopt(rollout_stage::completed);
    const heartbeat last = m_member.beat(subscription::fleet);
    EXPECT_TRUE(last.m_exposures.empty());
    EXPECT_TRUE(last.m_exposure_sums.empty());
}

// A datagram holds 64 KB; the exposures of a large zone take turns.
TEST_F(rollouts_between_entries, reports_are_bounded_and_take_turns) {
    constexpr std::size_t members = 100;
    outgoing_heartbeat out;
    out.m_scope = subscription::zone;
    for (std::size_t i = 1; i <= members; ++i) {
        exposure counts = m_relay.state().m_own;
        for (std::uint32_t route = 1; route <= 10; ++route)
            counts.on_route(route).m_target.m_responses = i;
        m_relay.state().m_ledger.report({entry_id{i}, 1}, counts);
        out.m_message.m_reports.push_back({{entry_id{i}, 1}});
    }
    std::vector<int> sent(members);
    for (int round = 0; round < 6; ++round) {
        outgoing_heartbeat next = out;
        m_relay.rollouts().add_to(next);
        std::size_t in_this = 0;
        for (std::size_t i = 0; i < members; ++i) {
            const bool has = !next.m_message.m_reports[i].m_exposures.empty();
            sent[i] += has ? 1 : 0;
            in_this += has ? 1 : 0;
        }
        EXPECT_GT(in_this, 10U);
        EXPECT_LT(in_this, 30U);
    }
    EXPECT_EQ(std::count(sent.begin(), sent.end(), 0), 0);
}

// Operators may stop the earlier upstreams when all have closed them.
TEST_F(rollouts_between_entries, drained_needs_this_entry_s_word) {
    EXPECT_FALSE(m_member.rollouts().earlier_drained(m_member.state()));
    m_member.state().m_own.m_earlier_closed = true;
    EXPECT_TRUE(m_member.rollouts().earlier_drained(m_member.state()));
    m_member.state().m_own.m_earlier_in_progress = 1;
    EXPECT_FALSE(m_member.rollouts().earlier_drained(m_member.state()));
}
