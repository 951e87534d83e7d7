// Whoever the store turns away is replaced as a watcher before a change of the
// configuration is late anywhere.
#include <gtest/gtest.h>

#include "test/member/fake_watchers.hpp"

using namespace skylark;
using skylark::test::fake_watchers;
using skylark::test::turned;

namespace {

// The bound within which a change is in force, and the wait that an entry takes
// from it.
struct terms {
    std::size_t m_count;
    std::size_t m_zones;
    duration m_bound;
    duration m_wait;
};

constexpr terms small{14, 3, milliseconds{2000}, milliseconds{800}};
constexpr terms large{313, 5, milliseconds{3000}, milliseconds{1800}};
constexpr terms grown{134, 5, milliseconds{2500}, milliseconds{1300}};

using choice =
    std::function<std::vector<std::size_t>(fake_watchers&, std::size_t)>;

// Turns some away, publishes a little later, and looks once the bound is over.
void play(const terms& of, turned how, const choice& whom, std::size_t zone,
          duration published) {
    fake_watchers subject{of.m_count, of.m_zones, of.m_wait, 7};
    subject.run(seconds{4});
    ASSERT_TRUE(subject.behind().empty());
    subject.turn_away(whom(subject, zone), how);
    subject.run(published);
    subject.publish();
    subject.run(of.m_bound);
    EXPECT_EQ(subject.behind(), std::vector<std::size_t>{})
        << "how " << static_cast<int>(how) << ", zone " << zone
        << ", published after " << to_ms(published) << " ms";
}

void play_all(const terms& of, const choice& whom) {
    for (const turned how :
         {turned::refused, turned::reset, turned::silent, turned::slow})
        for (std::size_t zone = 1; zone <= of.m_zones; ++zone)
            for (const int ms : {0, 250, 600, 1100, 1900, 3500})
                play(of, how, whom, zone, milliseconds{ms});
}

std::vector<std::size_t> first_of_zone(fake_watchers& from, std::size_t zone) {
    return from.watchers(zone, 1);
}

std::vector<std::size_t> two_of_zone(fake_watchers& from, std::size_t zone) {
    return from.watchers(zone, 2);
}

// The first watchers of this zone and the next one.
std::vector<std::size_t> two_zones(fake_watchers& from, std::size_t zone) {
    auto out = from.watchers(zone, 1);
    const auto next = from.watchers(zone % 3 + 1, 1);
    out.insert(out.end(), next.begin(), next.end());
    return out;
}

// The watcher of every zone at once.
std::vector<std::size_t> every_first(fake_watchers& from, std::size_t zones) {
    std::vector<std::size_t> out;
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        const auto first = from.watchers(zone, 1);
        out.insert(out.end(), first.begin(), first.end());
    }
    return out;
}

} // namespace

TEST(watchers, one_that_is_turned_away_is_replaced) {
    play_all(small, first_of_zone);
}

TEST(watchers, two_of_a_zone_are_replaced) {
    play_all(small, two_of_zone);
}

TEST(watchers, those_of_two_zones_are_replaced) {
    play_all(small, two_zones);
}

TEST(watchers, all_first_ones_are_replaced) {
    play_all(small, [](fake_watchers& from, std::size_t) {
        return every_first(from, small.m_zones);
    });
}

TEST(watchers, all_first_ones_of_a_grown_fleet_are_replaced) {
    const choice whom = [](fake_watchers& from, std::size_t) {
        return every_first(from, grown.m_zones);
    };
    for (const turned how : {turned::refused, turned::silent})
        for (const int ms : {0, 1100, 3500})
            play(grown, how, whom, 1, milliseconds{ms});
}

// Only the watchers ask, however long nothing changes.
TEST(watchers, a_quiet_fleet_asks_no_more_than_its_watchers) {
    for (const terms& of : {small, grown, large}) {
        fake_watchers subject{of.m_count, of.m_zones, of.m_wait, 9};
        subject.run(seconds{5});
        const std::size_t before = subject.calls();
        constexpr seconds time{20};
        subject.run(time);
        const auto calls = static_cast<std::size_t>(time / of.m_wait + 1);
        EXPECT_LE(subject.calls() - before, of.m_zones * calls);
    }
}

// With the store away for all, calls stay few: each entry finds out once and
// then asks every 15 s.
TEST(watchers, an_outage_costs_few_calls) {
    fake_watchers subject{grown.m_count, grown.m_zones, grown.m_wait, 8};
    subject.run(seconds{4});
    std::vector<std::size_t> all;
    for (std::size_t i = 1; i <= grown.m_count; ++i)
        all.push_back(i);
    const std::size_t before = subject.calls();
    subject.turn_away(all, turned::refused);
    subject.run(seconds{20});
    // Two for each entry, and five elected ones that try twice a second.
    EXPECT_LE(subject.calls() - before, 2 * grown.m_count + 5 * 2 * 20);
    subject.let_all_in();
    subject.publish();
    subject.run(seconds{2});
    EXPECT_TRUE(subject.behind().empty());
}
