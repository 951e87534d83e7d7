// What is known of a zone's room outlasts the few probes that an avoided zone
// gets, and a silent zone is not tried by each request.
#include <skylark/route/zone_room.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {
constexpr time_point start{seconds{100}};
} // namespace

TEST(zone_room, an_unknown_zone_has_room) {
    const zone_room subject;
    EXPECT_DOUBLE_EQ(subject.share(start), 1.0);
    EXPECT_FALSE(subject.silent(start));
}

TEST(zone_room, two_probes_a_second_keep_a_full_zone_known) {
    zone_room subject;
    time_point now = start;
    for (int i = 0; i < 20; ++i, now += milliseconds{500})
        subject.answered(now, false);
    EXPECT_LT(subject.share(now), 0.2);
}

TEST(zone_room, stale_knowledge_is_forgotten) {
    zone_room subject;
    for (int i = 0; i < 40; ++i)
        subject.answered(start + milliseconds{25} * i, false);
    EXPECT_LT(subject.share(start + seconds{1}), 0.05);
    EXPECT_GT(subject.share(start + seconds{15}), 0.9);
}

// A partition between zones: each request that tried one would wait for it.
TEST(zone_room, a_zone_that_does_not_answer_is_tried_at_growing_intervals) {
    zone_room subject;
    int tries = 0;
    for (time_point now = start; now < start + seconds{12};
         now += milliseconds{10})
        if (!subject.silent(now)) {
            ++tries;
            subject.unanswered(now);
        }
    EXPECT_GE(tries, 6 + 4);
    EXPECT_LE(tries, 6 + 10);
}

TEST(zone_room, an_answer_ends_the_silence) {
    zone_room subject;
    for (int i = 0; i < 6; ++i)
        subject.unanswered(start);
    ASSERT_TRUE(subject.silent(start));
    subject.answered(start, true);
    EXPECT_FALSE(subject.silent(start));
    subject.unanswered(start);
    EXPECT_FALSE(subject.silent(start));
}

TEST(zone_room, dead_upstreams_among_others_are_no_silence) {
    zone_room subject;
    for (int i = 0; i < 200; ++i) {
        const time_point now = start + milliseconds{5} * i;
        if (i % 4 == 0)
            subject.answered(now, true);
        else
            subject.unanswered(now);
        EXPECT_FALSE(subject.silent(now));
    }
}
