// Probe steps of requests whose zones have a price.
#include <skylark/route/probe_step.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr std::uint64_t first_of_others = 100;

load_report report_of(std::uint32_t used, std::uint32_t slowness) {
    return {0, upstream_state::warm, used, 6, 0, slowness};
}

// Twelve upstreams of the own zone and as many of others.
std::vector<probe_candidate> two_zones() {
    std::vector<probe_candidate> out;
    for (std::uint64_t i = 0; i < 24; ++i) {
        probe_candidate item;
        item.m_same_zone = i < 12;
        item.m_upstream =
            upstream_id{item.m_same_zone ? i + 1 : first_of_others + i};
        out.push_back(item);
    }
    return out;
}

/*! @brief Probes by zone until the request is sent or refused. */
struct course {
    std::string m_zones; // of the steps: 'o'wn or 'a'nother
    std::size_t m_probes{};
    bool m_sent{};
};

class zone_choice_test : public testing::Test {
protected:
    // Plays a request; all upstreams of the own zone are full, and those of the
    // others as it is said.
    course play(const zone_choice& zones, const load_report& own,
                const load_report& other, bool scarce = false) {
        course out;
        for (int i = 0; i < 20; ++i) {
            probe_options options{true, max_probes_per_step, {}, zones};
            options.m_room.m_scarce = scarce;
            const auto step = plan_probe_step(m_candidates, options, m_random);
            const auto* probed = std::get_if<probe_upstreams>(&step);
            if (!probed) {
                out.m_sent = std::holds_alternative<send_to_upstream>(step);
                return out;
            }
            for (const upstream_id target : probed->m_targets)
                for (probe_candidate& item : m_candidates)
                    if (item.m_upstream == target) {
                        item.m_probed = true;
                        item.m_report = item.m_same_zone ? own : other;
                    }
            out.m_probes += probed->m_targets.size();
            const bool is_own =
                probed->m_targets.front().value() < first_of_others;
            out.m_zones += is_own ? 'o' : 'a';
        }
        return out;
    }

    std::vector<probe_candidate> m_candidates{two_zones()};
    random_source m_random{7};
    load_report m_full{0, upstream_state::warm, 6, 6, 12, 100};
    load_report m_idle{0, upstream_state::warm, 0, 6, 0, 100};
    zone_choice m_stays{true, false, false, 0.5};
    zone_choice m_stays_short{true, false, true, 0.5};
    zone_choice m_leaves{true, true, true, 0.25};
};

} // namespace

TEST_F(zone_choice_test, without_a_price_full_upstreams_end_the_search) {
    const course got = play({}, m_full, m_idle);
    EXPECT_EQ(got.m_zones, "oo");
    EXPECT_FALSE(got.m_sent);
}

// Load: more than the own zone has room for, while others have some.
TEST_F(zone_choice_test, a_request_without_room_in_its_zone_leaves_it) {
    const course got = play(m_stays, m_full, m_idle);
    EXPECT_EQ(got.m_zones, "ooa");
    EXPECT_TRUE(got.m_sent);
}

// Load: the own zone's upstreams are gone or overloaded for a while.
TEST_F(zone_choice_test, known_shortage_saves_the_second_step) {
    const course got = play(m_stays_short, m_full, m_idle);
    EXPECT_EQ(got.m_zones, "oa");
    EXPECT_TRUE(got.m_sent);
}

TEST_F(zone_choice_test, a_request_that_leaves_probes_other_zones_first) {
    const course got = play(m_leaves, m_full, m_idle);
    EXPECT_EQ(got.m_zones, "a");
    EXPECT_TRUE(got.m_sent);
}

// Load: stale knowledge; the other zones are full in the meantime.
TEST_F(zone_choice_test, a_request_that_leaves_in_vain_returns) {
    const course got = play(m_leaves, m_idle, m_full);
    EXPECT_EQ(got.m_zones, "aao");
    EXPECT_TRUE(got.m_sent);
}

TEST_F(zone_choice_test, an_idle_upstream_of_the_own_zone_is_enough) {
    const course got = play(m_stays, m_idle, m_idle);
    EXPECT_EQ(got.m_zones, "o");
    EXPECT_TRUE(got.m_sent);
}

// Load: a third of the upstreams slow. The price decides whether others are
// asked.
TEST_F(zone_choice_test, slow_upstreams_are_left_only_if_that_pays) {
    const load_report slow = report_of(0, 200);
    zone_choice expensive = m_stays;
    expensive.m_penalty = 1.5;
    EXPECT_EQ(play(expensive, slow, m_idle).m_zones.find('a'),
              std::string::npos);
    m_candidates = two_zones();
    EXPECT_EQ(play(m_stays, slow, m_idle).m_zones.back(), 'a');
}

// Load: a partition between zones.
TEST_F(zone_choice_test, closed_zones_are_not_probed) {
    for (probe_candidate& item : m_candidates)
        item.m_zone_open = item.m_same_zone;
    for (const zone_choice& zones : {m_stays, m_stays_short, m_leaves}) {
        const course got = play(zones, m_full, m_idle);
        EXPECT_EQ(got.m_zones.find('a'), std::string::npos);
        EXPECT_FALSE(got.m_sent);
    }
}

// Load: evacuation; no upstream of the own zone may be used.
TEST_F(zone_choice_test, a_zone_without_candidates_is_left_at_once) {
    std::erase_if(m_candidates,
                  [](const auto& item) { return item.m_same_zone; });
    const course got = play(m_stays, m_full, m_idle);
    EXPECT_EQ(got.m_zones, "a");
    EXPECT_TRUE(got.m_sent);
}

// Load: all zones full. Probes stay bounded.
TEST_F(zone_choice_test, a_search_in_vain_ends) {
    for (const zone_choice& zones : {m_stays, m_stays_short, m_leaves}) {
        m_candidates = two_zones();
        EXPECT_LE(play(zones, m_full, m_full).m_probes, 9U);
        m_candidates = two_zones();
        EXPECT_LE(play(zones, m_full, m_full, true).m_probes, 15U);
    }
}

TEST_F(zone_choice_test, without_probes_a_request_stays_in_its_zone) {
    for (int i = 0; i < 50; ++i) {
        const probe_options options{true, 0, {}, m_stays};
        const auto step = plan_probe_step(m_candidates, options, m_random);
        const auto* sent = std::get_if<send_to_upstream>(&step);
        ASSERT_TRUE(sent);
        EXPECT_LT(sent->m_upstream.value(), first_of_others);
    }
}
