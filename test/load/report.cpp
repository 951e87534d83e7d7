// Load reports round-trip; malformed ones are rejected rather than completed
// with default values.
#include <skylark/load/report.hpp>

#include <gtest/gtest.h>

using namespace skylark;

TEST(load_report, round_trip) {
    const load_report subject{7, upstream_state::warm, 3, 6, 2};
    const auto read = parse_report(format_report(subject));
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), subject);
}

TEST(load_report, ignores_fields_of_later_versions) {
    EXPECT_TRUE(parse_report("slots=6;colour=red"));
}

TEST(load_report, rejects_malformed_reports) {
    for (const char* text : {"", "slots=0", "slots", "slots=six",
                             "state=hot;slots=6", "used=-1;slots=6"})
        EXPECT_FALSE(parse_report(text)) << text;
}
