// Store watchers: an entry whose store calls fail is replaced as a watcher in
// time, so that a configuration change reaches all other entries within the
// bound.
#include <gtest/gtest.h>

#include "test/member/fake_watchers.hpp"

using namespace skylark;
using skylark::test::fake_watchers;
using skylark::test::store_fault;

namespace {

struct fleet_config {
    std::size_t m_count;
    std::size_t m_zones;
    duration m_bound; // within which a change is in force
    duration m_wait;  // long-poll time, which entries derive from m_bound
};

constexpr fleet_config small_fleet{14, 3, milliseconds{2000},
                                   milliseconds{800}};
constexpr fleet_config large_fleet{313, 5, milliseconds{3000},
                                   milliseconds{1800}};
constexpr fleet_config medium_fleet{134, 5, milliseconds{2500},
                                    milliseconds{1300}};

using watcher_selection =
    std::function<std::vector<std::size_t>(fake_watchers&, std::size_t)>;

// Fails the store calls of the selected entries, publishes a change after a
// delay, and checks that all other entries have it after the bound.
void check_replacement(const fleet_config& of, store_fault fault,
                       const watcher_selection& select, std::size_t zone,
                       duration publish_delay) {
    fake_watchers subject{of.m_count, of.m_zones, of.m_wait, 7};
    subject.run(seconds{4});
    ASSERT_TRUE(subject.outdated().empty());
    subject.inject_fault(select(subject, zone), fault);
    subject.run(publish_delay);
    subject.publish();
    subject.run(of.m_bound);
    EXPECT_EQ(subject.outdated(), std::vector<std::size_t>{})
        << "fault " << static_cast<int>(fault) << ", zone " << zone
        << ", published after " << to_ms(publish_delay) << " ms";
}

void check_all_faults(const fleet_config& of, const watcher_selection& select) {
    for (const store_fault fault : {store_fault::refused, store_fault::reset,
                                    store_fault::silent, store_fault::slow})
        for (std::size_t zone = 1; zone <= of.m_zones; ++zone)
            for (const int delay_ms : {0, 250, 600, 1100, 1900, 3500})
                check_replacement(of, fault, select, zone,
                                  milliseconds{delay_ms});
}

std::vector<std::size_t> first_watcher(fake_watchers& from, std::size_t zone) {
    return from.watchers(zone, 1);
}

std::vector<std::size_t> first_two_watchers(fake_watchers& from,
                                            std::size_t zone) {
    return from.watchers(zone, 2);
}

// The first watcher of this zone and of the next one.
std::vector<std::size_t> first_watchers_of_two_zones(fake_watchers& from,
                                                     std::size_t zone) {
    auto out = from.watchers(zone, 1);
    const auto next = from.watchers(zone % 3 + 1, 1);
    out.insert(out.end(), next.begin(), next.end());
    return out;
}

// The first watcher of each zone.
std::vector<std::size_t> first_watcher_of_each_zone(fake_watchers& from,
                                                    std::size_t zones) {
    std::vector<std::size_t> out;
    for (std::size_t zone = 1; zone <= zones; ++zone) {
        const auto first = from.watchers(zone, 1);
        out.insert(out.end(), first.begin(), first.end());
    }
    return out;
}

} // namespace

TEST(watchers, a_watcher_whose_calls_fail_is_replaced) {
    check_all_faults(small_fleet, first_watcher);
}

TEST(watchers, two_watchers_of_a_zone_are_replaced) {
    check_all_faults(small_fleet, first_two_watchers);
}

TEST(watchers, first_watchers_of_two_zones_are_replaced) {
    check_all_faults(small_fleet, first_watchers_of_two_zones);
}

TEST(watchers, first_watchers_of_all_zones_are_replaced) {
    check_all_faults(small_fleet, [](fake_watchers& from, std::size_t) {
        return first_watcher_of_each_zone(from, small_fleet.m_zones);
    });
}

TEST(watchers, first_watchers_of_all_zones_of_a_medium_fleet_are_replaced) {
    const watcher_selection select = [](fake_watchers& from, std::size_t) {
        return first_watcher_of_each_zone(from, medium_fleet.m_zones);
    };
    for (const store_fault fault : {store_fault::refused, store_fault::silent})
        for (const int delay_ms : {0, 1100, 3500})
            check_replacement(medium_fleet, fault, select, 1,
                              milliseconds{delay_ms});
}

// Without changes only the watchers call the store.
TEST(watchers, only_watchers_call_the_store_without_changes) {
    for (const fleet_config& of : {small_fleet, medium_fleet, large_fleet}) {
        fake_watchers subject{of.m_count, of.m_zones, of.m_wait, 9};
        subject.run(seconds{5});
        const std::size_t before = subject.calls();
        constexpr seconds run_time{20};
        subject.run(run_time);
        const auto calls = static_cast<std::size_t>(run_time / of.m_wait + 1);
        EXPECT_LE(subject.calls() - before, of.m_zones * calls);
    }
}

// While the store fails the calls of all entries, each entry detects that with
// one call and then retries every 15 s.
TEST(watchers, an_outage_causes_few_calls) {
    fake_watchers subject{medium_fleet.m_count, medium_fleet.m_zones,
                          medium_fleet.m_wait, 8};
    subject.run(seconds{4});
    std::vector<std::size_t> all;
    for (std::size_t i = 1; i <= medium_fleet.m_count; ++i)
        all.push_back(i);
    const std::size_t before = subject.calls();
    subject.inject_fault(all, store_fault::refused);
    subject.run(seconds{20});
    // Two calls by each entry, and two a second by each of five elected
    // entries.
    EXPECT_LE(subject.calls() - before, 2 * medium_fleet.m_count + 5 * 2 * 20);
    subject.clear_faults();
    subject.publish();
    subject.run(seconds{2});
    EXPECT_TRUE(subject.outdated().empty());
}
