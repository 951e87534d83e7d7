// Rate limits between two entries on their real sockets: fleets that hear each
// other, messages as datagrams, requests that wait for tokens.
#include <memory>
#include <set>

#include <gtest/gtest.h>

#include "entry/allowance_service.hpp"
#include "peer/allowance_codec.hpp"
#include "test/own_address.hpp"

namespace skylark::test {
namespace {

using entry::request_id;

constexpr double rate = 20.0;

entry::settings settings_of(const std::string& name,
                            const entry::settings* seed) {
    entry::settings out;
    out.m_name = name;
    out.m_zone = "a";
    out.m_zones = {"a"};
    out.m_deployment = entry::deployment::platform;
    out.m_log_level = "off";
    out.m_peer = out.m_control = own_address();
    out.m_callers = own_address();
    if (seed)
        out.m_seeds = {seed->m_peer};
    return out;
}

class limited_entry {
public:
    limited_entry(io::event_loop& loop, const entry::settings& from)
        : m_journal{from.m_name, "off"}, m_fleet{loop, from, m_journal,
                                                 m_counts},
          m_service{loop, m_fleet, m_journal, m_counts, 7} {
        entry::fleet_hooks hooks;
        hooks.m_mark = [] { return config_mark{}; };
        hooks.m_peer_mark = [](const member&) {};
        hooks.m_digest = [](const load_digest&) {};
        hooks.m_tokens = [this](const allowance_message& message) {
            m_service.received(message);
        };
        EXPECT_TRUE(m_fleet.start(std::move(hooks)));
        m_service.start([this](const allowance_decision& decided) {
            m_waiting.erase(decided.m_request);
            ++(decided.m_granted ? m_granted : m_refused);
        });
        document config;
        config.m_teams.push_back({"garden", {}, 0, rate, 5.0});
        config.m_teams.push_back({"free", {}, 0, 0.0, 0.0});
        m_service.configure(config);
    }

    void request(const std::string& team) {
        const request_id key{++m_last};
        switch (m_service.admit(team, key)) {
        case allowance_verdict::granted:
            ++m_granted;
            break;
        case allowance_verdict::refused:
            ++m_refused;
            break;
        case allowance_verdict::waiting:
            m_waiting.insert(key.value());
        }
    }

    entry::metrics m_counts;
    entry::journal m_journal;
    entry::fleet m_fleet;
    entry::allowance_service m_service;
    std::set<std::uint64_t> m_waiting;
    std::uint64_t m_last{};
    int m_granted{};
    int m_refused{};
};

class two_entries : public testing::Test {
protected:
    two_entries() {
        const entry::settings first = settings_of("first", nullptr);
        m_entries[0] = std::make_unique<limited_entry>(m_loop, first);
        m_entries[1] = std::make_unique<limited_entry>(
            m_loop, settings_of("second", &first));
    }

    void turn_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    void meet() {
        turn_until([this] {
            const time_point now = io::event_loop::now();
            return m_entries[0]->m_fleet.live_members(now).size() == 2 &&
                   m_entries[1]->m_fleet.live_members(now).size() == 2;
        });
    }

    io::event_loop m_loop;
    std::array<std::unique_ptr<limited_entry>, 2> m_entries;
};

// Guards against requests that wait for ever: each one is granted or refused,
// at the entry that owns the team and at the other one.
TEST_F(two_entries, decide_on_every_request) {
    meet();
    for (int i = 0; i < 100; ++i) {
        m_entries[0]->request("garden");
        m_entries[1]->request("garden");
        m_loop.run_once(milliseconds{5});
    }
    turn_until([this] {
        return m_entries[0]->m_waiting.empty() &&
               m_entries[1]->m_waiting.empty();
    });
    for (const auto& item : m_entries)
        EXPECT_EQ(item->m_granted + item->m_refused, 100);
}

// Guards against an entry that lends only to itself.
TEST_F(two_entries, share_a_limit) {
    meet();
    const auto granted = [this] {
        return std::min(m_entries[0]->m_granted, m_entries[1]->m_granted);
    };
    turn_until([&] {
        m_entries[0]->request("garden");
        m_entries[1]->request("garden");
        return granted() >= 3;
    });
    EXPECT_GT(m_entries[0]->m_refused + m_entries[1]->m_refused, 0);
    const std::string page = m_entries[0]->m_counts.page();
    turn_until([this] {
        return m_entries[0]->m_counts.page().find(
                   "skylark_team_granted{team=\"garden\"}") !=
               std::string::npos;
    });
}

TEST_F(two_entries, never_wait_for_teams_without_a_limit) {
    for (const char* team : {"free", "unknown"}) {
        m_entries[0]->request(team);
        EXPECT_TRUE(m_entries[0]->m_waiting.empty());
    }
    EXPECT_EQ(m_entries[0]->m_granted, 2);
}

// A waiting request that ends must not get a token afterwards.
TEST_F(two_entries, forget_requests_that_end) {
    meet();
    for (const auto& item : m_entries)
        turn_until([&] {
            item->request("garden");
            return !item->m_waiting.empty() || item->m_granted > 0;
        });
    for (const auto& item : m_entries)
        for (const std::uint64_t key : std::exchange(item->m_waiting, {}))
            item->m_service.cancel("garden", request_id{key});
    const int before = m_entries[0]->m_granted + m_entries[1]->m_granted;
    for (int i = 0; i < 100; ++i)
        m_loop.run_once(milliseconds{1});
    EXPECT_EQ(m_entries[0]->m_granted + m_entries[1]->m_granted, before);
}

} // namespace
} // namespace skylark::test
