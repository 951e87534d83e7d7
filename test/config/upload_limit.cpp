// A source serves a bounded number of transfers, whatever the fleet's size.
#include <skylark/config/upload_limit.hpp>

#include <algorithm>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

address entry(std::uint64_t index) {
    return {static_cast<std::uint32_t>(index), 1};
}

// Transfers that a source begins for a number of requests at the same time.
std::size_t begun(std::uint64_t requests, std::size_t bytes) {
    upload_limit subject;
    std::size_t out = 0;
    for (std::uint64_t i = 1; i <= requests; ++i)
        out += subject.begin(exchange_id{i}, entry(i), bytes) ? 1 : 0;
    return out;
}

} // namespace

TEST(upload_limit, transfers_at_a_time_do_not_grow_with_the_fleet) {
    for (const std::size_t bytes : {70'000U, 300'000U, 4'000'000U})
        EXPECT_EQ(begun(14, bytes), begun(313, bytes)) << bytes;
}

TEST(upload_limit, a_small_document_is_served_to_all_at_once) {
    EXPECT_EQ(begun(62, 2'000), 62U);
}

TEST(upload_limit, refers_to_those_that_got_the_present_version) {
    upload_limit subject;
    ASSERT_TRUE(subject.begin(exchange_id{1}, entry(1), 300'000));
    ASSERT_TRUE(subject.begin(exchange_id{2}, entry(2), 300'000));
    ASSERT_TRUE(subject.begin(exchange_id{3}, entry(3), 300'000));
    ASSERT_FALSE(subject.begin(exchange_id{4}, entry(4), 300'000));
    subject.ended(exchange_id{2}, true);
    subject.ended(exchange_id{3}, false);
    EXPECT_EQ(subject.holders(), (std::vector{entry(2), entry(1)}));
    EXPECT_TRUE(subject.begin(exchange_id{5}, entry(5), 300'000));
    subject.version_changed();
    subject.ended(exchange_id{5}, true);
    EXPECT_TRUE(subject.holders().empty());
}

TEST(upload_limit, other_exchanges_are_ignored) {
    upload_limit subject;
    subject.ended(exchange_id{9}, true);
    EXPECT_TRUE(subject.holders().empty());
}
