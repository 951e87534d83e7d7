// Valid statements are parsed; errors give the column of the fault.
#include <skylark/command/parse.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

void expect_error(const std::string& line, const std::string& place,
                  const std::string& part) {
    const auto read = parse_statement(line);
    ASSERT_FALSE(read) << line;
    EXPECT_EQ(read.error().m_place, place) << line;
    EXPECT_NE(read.error().text().find(part), std::string::npos)
        << read.error().text();
}

} // namespace

TEST(parse_statement, show_with_filters) {
    const auto read =
        parse_statement("show upstreams where zone = enna and in_flight > 3");
    ASSERT_TRUE(read) << read.error().text();
    const auto& query = std::get<show_query>(read.value());
    EXPECT_EQ(query.m_subject, show_subject::upstreams);
    ASSERT_EQ(query.m_filters.size(), 2U);
    EXPECT_EQ(query.m_filters[0].m_field.m_text, "zone");
    EXPECT_EQ(query.m_filters[0].m_value, "enna");
    EXPECT_EQ(query.m_filters[1].m_operator, ">");
}

TEST(parse_statement, shows_teams) {
    const auto read = parse_statement("show teams where rank < 2");
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(std::get<show_query>(read.value()).m_subject,
              show_subject::teams);
}

TEST(parse_statement, explain) {
    const auto read =
        parse_statement("explain request GET /stock/3 header X-Hail yes");
    ASSERT_TRUE(read) << read.error().text();
    const auto& query = std::get<explain_query>(read.value());
    EXPECT_EQ(query.m_method, "GET");
    EXPECT_EQ(query.m_path, "/stock/3");
    EXPECT_EQ(query.m_header_value, "yes");
}

TEST(parse_statement, changes) {
    const auto create = parse_statement(
        "create rule hail service stock path_prefix \"/a b\" class urgent");
    ASSERT_TRUE(create) << create.error().text();
    const auto& change = std::get<change_statement>(create.value());
    EXPECT_EQ(change.m_kind, change_kind::create);
    EXPECT_EQ(change.m_target, change_target::rule);
    ASSERT_EQ(change.m_assignments.size(), 3U);
    EXPECT_EQ(change.m_assignments[1].m_value.m_text, "/a b");
    const auto drain = parse_statement("drain zone enna force");
    ASSERT_TRUE(drain);
    EXPECT_TRUE(std::get<change_statement>(drain.value()).m_force);
    const auto set = parse_statement("set hedge_percent 3 retry_percent 5");
    ASSERT_TRUE(set);
    const auto& limits = std::get<change_statement>(set.value());
    EXPECT_EQ(limits.m_target, change_target::limits);
    EXPECT_EQ(limits.m_assignments.size(), 2U);
}

TEST(parse_statement, errors_point_at_the_column) {
    expect_error("", "column 1", "show, explain");
    expect_error("shw zones", "column 1", "\"shw zones\"");
    expect_error("show zone", "column 6", "zones");
    expect_error("show zones wher x = 1", "column 12", "where");
    expect_error("show zones where", "column 17", "a space");
    expect_error("show zones where zone enna", "column 23", "=, !=");
    expect_error("drain service x", "column 7", "zone");
    expect_error("create zone", "column 12", "a space");
    expect_error("alter rule r deadline_ms", "column 25", "a space");
    expect_error("explain request GET stock", "column 21", "begins with /");
    expect_error("create zone \"enna", "column 18", "closing");
}
