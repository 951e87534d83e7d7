// An answer without an end is cut, a long download is not.
#include <skylark/limit/answer_bound.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const time_point start{seconds{100}};
const time_point deadline = start + seconds{1};
const time_point caller_leaves = start + seconds{8};
constexpr std::uint64_t length = 1'000'000;
// Callers may be kept waiting for half a second beyond the deadline.
const time_point latest = deadline + milliseconds{500};

answer_bound with_length(std::optional<std::uint64_t> of) {
    return answer_bound{{start, deadline, caller_leaves, of}};
}

} // namespace

TEST(answer_bound, an_answer_may_go_on_until_its_deadline) {
    for (const auto of : {std::optional<std::uint64_t>{}, {length}})
        EXPECT_TRUE(with_length(of).may_go_on(deadline, length));
}

TEST(answer_bound, a_body_of_unknown_length_ends_with_its_deadline) {
    const answer_bound subject = with_length({});
    EXPECT_LT(subject.least_end(), latest);
    EXPECT_FALSE(subject.may_go_on(subject.least_end(), 0));
}

TEST(answer_bound, a_download_goes_on_while_it_ends_before_its_caller_leaves) {
    const answer_bound subject = with_length(length);
    // An eighth in each second.
    for (int second = 2; second < 8; ++second)
        EXPECT_TRUE(subject.may_go_on(start + seconds{second},
                                      length - length / 8 * second))
            << second;
    EXPECT_FALSE(subject.may_go_on(caller_leaves, 1));
}

TEST(answer_bound, a_download_that_cannot_end_in_time_is_cut) {
    const answer_bound subject = with_length(length);
    EXPECT_FALSE(subject.may_go_on(subject.least_end(), length));
    EXPECT_FALSE(subject.may_go_on(latest, length - length / 10));
}

// The length alone bounds nothing.
TEST(answer_bound, a_declared_length_beyond_all_measure_is_cut) {
    const answer_bound subject{{start, deadline, {}, std::uint64_t{1} << 62U}};
    EXPECT_FALSE(subject.may_go_on(latest, (std::uint64_t{1} << 62U) - length));
}

TEST(answer_bound, without_a_word_of_the_caller_a_download_goes_on) {
    const answer_bound subject{{start, deadline, {}, length}};
    EXPECT_TRUE(subject.may_go_on(start + seconds{30}, length - length / 100));
    EXPECT_FALSE(subject.may_go_on(start + std::chrono::hours{1}, 1));
}

TEST(answer_bound, what_arrived_during_a_pause_may_be_passed_on) {
    answer_bound subject = with_length({});
    const time_point thawed = start + seconds{5};
    subject.process_paused(thawed);
    EXPECT_TRUE(subject.may_go_on(thawed, 0));
    EXPECT_FALSE(subject.may_go_on(thawed + seconds{1}, 0));
}

// An upstream may begin its answer just before the deadline.
TEST(answer_bound, a_late_answer_has_a_moment_to_end) {
    const answer_bound subject{{deadline, deadline, caller_leaves, length}};
    EXPECT_TRUE(subject.may_go_on(deadline + milliseconds{1}, length));
}
