// Timeouts of probes follow the path to a zone, and nothing else.
#include <skylark/load/path_table.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr duration near_timeout = path_time::least_timeout;

// Answers some probes, each on a connection opened for it.
void answer(path_time& subject, int count, duration round_trip) {
    for (int i = 0; i < count; ++i) {
        subject.add_set_up(round_trip);
        subject.add_round_trip(round_trip);
    }
}

} // namespace

TEST(path_time, before_the_first_sample_far_zones_can_answer) {
    const path_time subject;
    EXPECT_FALSE(subject.known());
    EXPECT_EQ(subject.timeout(false), milliseconds{40});
    EXPECT_EQ(subject.timeout(true), milliseconds{40});
    EXPECT_EQ(subject.allowance(), duration{0});
}

// One round trip of 9 ms, with set-up two: 8 ms made every probe overdue.
TEST(path_time, probes_of_a_far_zone_are_not_overdue) {
    path_time subject;
    for (int i = 0; i < 100; ++i) {
        answer(subject, 1, milliseconds{9});
        EXPECT_GT(subject.timeout(false), milliseconds{10});
        EXPECT_GT(subject.timeout(true), milliseconds{22});
    }
    EXPECT_LE(subject.timeout(false), milliseconds{15});
    EXPECT_LE(subject.timeout(true), milliseconds{30});
}

TEST(path_time, set_up_is_assumed_until_a_connection_is_opened) {
    path_time subject;
    for (int i = 0; i < 50; ++i)
        subject.add_round_trip(milliseconds{9});
    EXPECT_GT(subject.timeout(true), milliseconds{20});
    EXPECT_EQ(subject.expected(true), 2 * subject.expected(false));
}

TEST(path_time, near_zones_keep_their_timeout) {
    for (const duration round_trip :
         {microseconds{300}, microseconds{1000}, microseconds{2000}}) {
        path_time subject;
        answer(subject, 8, round_trip);
        EXPECT_EQ(subject.timeout(true), near_timeout) << round_trip.count();
        EXPECT_EQ(subject.allowance(), duration{0});
    }
}

// Entries with a tenth of a core pause for tens of milliseconds, and a third of
// the upstreams is slow at any time. Neither makes requests wait longer for
// silent upstreams of a near zone.
TEST(path_time, pauses_and_slow_upstreams_do_not_lengthen_a_near_path) {
    path_time paused;
    path_time slow;
    for (int i = 0; i < 1000; ++i) {
        answer(paused, 1, i % 20 == 0 ? milliseconds{60} : milliseconds{1});
        answer(slow, 1, i % 10 < 3 ? microseconds{1400} : microseconds{1000});
        EXPECT_EQ(slow.timeout(true), near_timeout) << i;
        // The first sample is a pause; nothing else is known of the path then.
        if (i > 0) {
            EXPECT_EQ(paused.timeout(true), near_timeout) << i;
        }
    }
}

TEST(path_time, a_path_that_grows_longer_or_shorter_is_learnt) {
    path_time subject;
    answer(subject, 50, milliseconds{1});
    EXPECT_EQ(subject.timeout(false), near_timeout);
    answer(subject, 30, milliseconds{9});
    EXPECT_GT(subject.timeout(false), milliseconds{10});
    EXPECT_GT(subject.timeout(true), milliseconds{20});
    answer(subject, 60, milliseconds{1});
    EXPECT_EQ(subject.timeout(true), near_timeout);
}

// Its probes are answered after they are overdue, so the path is known
// nevertheless.
TEST(path_time, timeouts_are_bounded) {
    path_time subject;
    answer(subject, 50, milliseconds{200});
    EXPECT_EQ(subject.timeout(true), path_time::longest_timeout);
    path_time short_path;
    answer(short_path, 50, duration{0});
    EXPECT_EQ(short_path.timeout(true), near_timeout);
}

TEST(path_table, the_own_zone_keeps_its_timeout_whatever_its_load) {
    path_table subject{"a"};
    for (int i = 0; i < 50; ++i) {
        subject.add_set_up("a", milliseconds{30});
        subject.add_round_trip("a", milliseconds{30});
    }
    EXPECT_EQ(subject.timeout("a", true), near_timeout);
    EXPECT_EQ(subject.allowance("a"), duration{0});
    EXPECT_EQ(subject.one_way("a"), duration{0});
}

TEST(path_table, zones_are_learnt_apart) {
    path_table subject{"a"};
    for (int i = 0; i < 50; ++i) {
        subject.add_round_trip("b", milliseconds{9});
        subject.add_round_trip("c", milliseconds{1});
    }
    EXPECT_GT(subject.timeout("b", true), milliseconds{20});
    EXPECT_EQ(subject.timeout("c", true), near_timeout);
    EXPECT_EQ(subject.timeout("d", false), path_time::first_timeout);
    EXPECT_GT(subject.one_way("b"), milliseconds{4});
    EXPECT_LE(subject.one_way("b"), microseconds{4500});
}

TEST(path_table, unknown_zone_names_take_bounded_memory) {
    path_table subject{"a"};
    for (int i = 0; i < 1000; ++i)
        subject.add_round_trip("z" + std::to_string(i), milliseconds{9});
    EXPECT_NE(subject.timeout("z10", true), path_time::first_timeout);
    EXPECT_EQ(subject.timeout("z900", true), path_time::first_timeout);
}
