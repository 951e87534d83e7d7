// Filters compare numbers by value; errors name unknown columns.
#include <skylark/command/table.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

table sample() {
    return {{"zone", "count"}, {{"enna", "10"}, {"bronte", "9"}}};
}

} // namespace

TEST(table, selects_rows) {
    const auto more = select(sample(), {{{"count", 1}, ">", "9"}});
    ASSERT_TRUE(more);
    ASSERT_EQ(more.value().m_rows.size(), 1U);
    EXPECT_EQ(more.value().m_rows[0][0], "enna");
    const auto named = select(sample(), {{{"zone", 1}, "!=", "enna"}});
    EXPECT_EQ(named.value().m_rows[0][0], "bronte");
}

TEST(table, names_unknown_columns) {
    const auto wrong = select(sample(), {{{"zoen", 18}, "=", "x"}});
    ASSERT_FALSE(wrong);
    EXPECT_EQ(wrong.error().m_place, "column 18");
    EXPECT_NE(wrong.error().text().find("\"zone\" perhaps"), std::string::npos);
}

TEST(table, aligns_columns) {
    EXPECT_EQ(format_table(sample()), "zone    count\n"
                                      "enna    10\n"
                                      "bronte  9\n");
}
