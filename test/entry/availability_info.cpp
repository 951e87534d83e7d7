// What upstreams say of their availability, and the events that it causes.
#include "entry/availability_info.hpp"

#include <gtest/gtest.h>

#include "entry/journal.hpp"
#include "entry/upstream.hpp"

using namespace skylark;

namespace {

entry::availability_info rest_of(std::string_view field) {
    entry::availability_info out;
    entry::read_rest(field, out);
    return out;
}

class availability_events : public testing::Test {
protected:
    availability_events() { m_upstream.m_instance = "i-1"; }

    void apply(const entry::availability_info& said) {
        entry::apply_availability(said, m_upstream, m_events, m_now);
    }

    std::vector<std::string> details() const {
        std::vector<std::string> out;
        for (const event& item : m_events.ring().events())
            out.push_back(item.m_subject + ": " + item.m_detail);
        return out;
    }

    entry::upstream m_upstream;
    entry::journal m_events{"test", "off"};
    time_point m_now{seconds{1000}};
};

} // namespace

TEST(availability_info, reads_whole_and_fractional_seconds) {
    EXPECT_EQ(rest_of("2").m_rest, seconds{2});
    EXPECT_EQ(rest_of("0.25").m_rest, milliseconds{250});
    EXPECT_EQ(rest_of("0").m_rest, duration{0});
    EXPECT_FALSE(rest_of("").m_rest);
    EXPECT_FALSE(rest_of("").m_malformed_rest);
}

TEST(availability_info, a_time_that_cannot_be_read_is_no_rest) {
    for (const char* text :
         {"soon", "-1", "-0.5", "nan", "inf", "-inf", "1e3", "1 s", "0x10",
          "Fri, 31 Dec 1999 23:59:59 GMT", "+1", "."}) {
        EXPECT_FALSE(rest_of(text).m_rest) << text;
        EXPECT_TRUE(rest_of(text).m_malformed_rest) << text;
    }
    const std::string long_number(400, '9');
    EXPECT_TRUE(rest_of(long_number).m_malformed_rest);
}

TEST(availability_info, a_huge_time_stays_in_range) {
    const auto huge = rest_of("99999999999999999999");
    ASSERT_TRUE(huge.m_rest);
    EXPECT_GT(*huge.m_rest, availability::max_rest);
}

TEST_F(availability_events, each_change_of_belief_is_one_event) {
    entry::availability_info leaves;
    leaves.m_leaving = true;
    for (int i = 0; i < 3; ++i) {
        apply(rest_of("1.5"));
        apply(leaves);
        apply(rest_of("soon"));
        apply({});
    }
    EXPECT_EQ(details(),
              (std::vector<std::string>{
                  "i-1: asked for 1500 ms of rest", "i-1: said that it leaves",
                  "i-1: asked for a rest without a readable time"}));
    EXPECT_TRUE(m_upstream.m_availability.leaving());
}

TEST_F(availability_events, a_rest_that_is_cut_is_told_with_both_times) {
    apply(rest_of("7200"));
    ASSERT_EQ(details().size(), 1U);
    EXPECT_EQ(details()[0], "i-1: asked for 7200000 ms of rest, gets 3600000");
}
