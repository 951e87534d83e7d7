// No slot is used by two entries at a time while members freeze, lose links,
// die and join.
#include <skylark/share/table.hpp>

#include <gtest/gtest.h>

#include "test/member/fake_fleet.hpp"

using namespace skylark;
using skylark::test::fake_fleet;

namespace {

constexpr upstream_id some_upstream{77};

std::uint32_t sum_usable(fake_fleet& fleet, upstream_id upstream,
                         share_kind kind, std::uint32_t slots) {
    std::uint32_t sum = 0;
    for (std::size_t i = 1; i <= fleet.size(); ++i)
        sum += fleet.usable(i, upstream, kind, slots);
    return sum;
}

} // namespace

TEST(share_table, slots_add_up_to_the_limit) {
    fake_fleet fleet{16, 1};
    fleet.run(seconds{2});
    for (std::uint64_t key = 1; key <= 30; ++key)
        for (const std::uint32_t slots : {1U, 2U, 5U})
            EXPECT_EQ(
                sum_usable(fleet, upstream_id{key}, share_kind::bulk, slots),
                slots);
}

TEST(share_table, nothing_is_owned_before_agreement) {
    share_table subject{entry_id{1}};
    subject.view_changed(member_view{{{entry_id{1}, 1}}});
    EXPECT_EQ(subject.usable(some_upstream, share_kind::cold, 4), 0U);
    subject.view_agreed();
    EXPECT_EQ(subject.usable(some_upstream, share_kind::cold, 4), 4U);
    subject.revoke_all();
    EXPECT_EQ(subject.usable(some_upstream, share_kind::cold, 4), 0U);
}

TEST(share_table, slots_are_kept_through_a_change_and_gained_after_agreement) {
    const member_view two{{{entry_id{1}, 1}, {entry_id{2}, 1}}};
    const member_view one{{{entry_id{1}, 1}}};
    share_table subject{entry_id{1}};
    subject.view_changed(two);
    subject.view_agreed();
    const auto kept = subject.usable(some_upstream, share_kind::bulk, 8);
    ASSERT_GT(kept, 0U);
    ASSERT_LT(kept, 8U);
    subject.view_changed(one);
    EXPECT_EQ(subject.usable(some_upstream, share_kind::bulk, 8), kept);
    subject.view_agreed();
    EXPECT_EQ(subject.usable(some_upstream, share_kind::bulk, 8), 8U);
}

namespace {

// Injects random faults while each owner keeps its slot busy for random times;
// counts how often a slot is in use by more than one member.
class fault_scenario {
public:
    explicit fault_scenario(std::uint64_t seed) : m_fleet{7, seed} {}

    void run() {
        m_fleet.run(seconds{2});
        constexpr int rounds = 25;
        for (int i = 0; i < rounds; ++i) {
            inject_fault();
            m_fleet.run(milliseconds{200 + m_fleet.random()(1800)},
                        [this] { use_slots(); });
        }
        m_fleet.heal();
        m_fleet.run(seconds{8}, [this] { use_slots(); });
    }

    std::uint64_t m_conflicts{};
    std::uint64_t m_uses{};
    bool m_recovered{};

private:
    std::size_t random_member() { return 1 + m_fleet.random()(7); }

    void inject_fault() {
        switch (m_fleet.random()(6)) {
        case 0:
            m_fleet.cut(random_member(), random_member(), true);
            break;
        case 1:
            isolate(random_member());
            break;
        case 2:
            m_fleet.heal();
            break;
        case 3:
            m_fleet.freeze(random_member(),
                           milliseconds{m_fleet.random()(4000)});
            break;
        case 4: {
            const std::size_t index = random_member();
            m_fleet.kill(index);
            m_fleet.start(index);
            break;
        }
        default:
            break;
        }
    }

    void isolate(std::size_t index) {
        for (std::size_t i = 1; i <= 7; ++i) {
            m_fleet.cut(index, i, true);
            if (m_fleet.random()(2) == 0)
                m_fleet.cut(i, index, true);
        }
    }

    // Each idle member that may use the slot starts work of up to 900 ms. That
    // is less than the time between self-stop and hold-down, within which work
    // in a cold slot must end.
    void use_slots() {
        for (std::size_t i = 1; i <= 7; ++i) {
            auto& member = m_fleet.at(i);
            const bool busy = member.m_busy_until > m_fleet.now();
            if (!busy && m_fleet.alive(member) &&
                m_fleet.usable(i, some_upstream, share_kind::cold, 1) > 0) {
                member.m_busy_until =
                    m_fleet.now() + milliseconds{m_fleet.random()(900)};
                ++m_uses;
            }
        }
        std::uint32_t users = 0;
        for (std::size_t i = 1; i <= 7; ++i)
            users += m_fleet.at(i).m_busy_until > m_fleet.now() ? 1 : 0;
        m_conflicts += users > 1 ? 1 : 0;
        m_recovered = users > 0;
    }

    fake_fleet m_fleet;
};

} // namespace

TEST(share_table, no_slot_is_used_twice_under_random_faults) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        fault_scenario subject{seed};
        subject.run();
        EXPECT_EQ(subject.m_conflicts, 0U);
        EXPECT_GT(subject.m_uses, 15U) << "the scenario must use the slot";
    }
}

TEST(share_table, slot_of_a_dead_owner_is_reassigned_within_four_seconds) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        fake_fleet fleet{16, seed};
        fleet.run(seconds{2});
        std::size_t owner = 0;
        for (std::size_t i = 1; i <= 16; ++i)
            if (fleet.usable(i, some_upstream, share_kind::cold, 1) > 0)
                owner = i;
        ASSERT_NE(owner, 0U);
        fleet.kill(owner);
        fleet.run(seconds{4});
        EXPECT_EQ(sum_usable(fleet, some_upstream, share_kind::cold, 1), 1U)
            << "seed " << seed;
    }
}
