// Teams round-trip through the document's JSON; errors show no key.
#include <skylark/config/document.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const std::string digest(64, 'a');
const std::string secret = "hidden-key-1";

document sample() {
    document out;
    out.m_services = {{"stock"}};
    rule open;
    open.m_name = "open";
    open.m_service = "stock";
    open.m_path_prefix = "/";
    open.m_public = true;
    out.m_rules = {open};
    out.m_teams = {{"reds", {digest, std::string(64, 'b')}, 3, 12.5, 40.0},
                   {"blues", {}, 0, 0.0, 0.0}};
    return out;
}

std::string with_team(const std::string& fields) {
    return R"({"teams": [{"name": "reds", "key_digests": [")" + digest +
           R"("]}, {)" + fields + "}]}";
}

void expect_error(const std::string& text, const std::string& place,
                  const std::string& part) {
    const auto read = parse_document(text);
    ASSERT_FALSE(read) << text;
    EXPECT_EQ(read.error().m_place, place);
    EXPECT_NE(read.error().text().find(part), std::string::npos)
        << read.error().text();
    EXPECT_EQ(read.error().text().find(secret), std::string::npos)
        << read.error().text();
    EXPECT_EQ(read.error().text().find(digest), std::string::npos);
}

} // namespace

TEST(teams, round_trip_in_both_forms) {
    for (const std::string& text :
         {format_document(sample()), format_compact_document(sample())}) {
        const auto read = parse_document(text);
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value(), sample());
    }
}

TEST(teams, names_place_and_value_of_errors) {
    const std::string at = "document/teams/1/";
    expect_error(with_team(R"("name": "")"), at + "name", "without control");
    expect_error(with_team(R"("name": "a\r\nb")"), at + "name", "without");
    expect_error(with_team(R"("name": " a")"), at + "name", "at its ends");
    expect_error(with_team(R"("name": "reds")"), at + "name", "\"reds\"");
    expect_error(with_team(R"("name": "a", "rank": -1)"), at + "rank", "-1");
    expect_error(with_team(R"("name": "a", "rank": 1.5)"), at + "rank", "1.5");
    expect_error(with_team(R"("name": "a", "rate_per_s": -2)"),
                 at + "rate_per_s", "-2");
    expect_error(with_team(R"("name": "a", "burst": 1e10)"), at + "burst",
                 "10000000000");
    expect_error(R"({"rules": [{"public": 1}]})", "document/rules/0/public",
                 "true or false");
}

// An operator may paste a key where a digest or another field belongs.
TEST(teams, errors_show_no_key) {
    const std::string at = "document/teams/1/";
    const std::string quoted = '"' + secret + '"';
    const auto field = [&](const std::string& name, const std::string& value) {
        return with_team(R"("name": "a", ")" + name + "\": " + value);
    };
    expect_error(field("key_digests", "[" + quoted + "]"), at + "key_digests/0",
                 "64 lowercase");
    expect_error(field("key_digests", "[[" + quoted + "]]"),
                 at + "key_digests/0", "a string");
    expect_error(field("key_digests", "[\"" + digest + "\"]"),
                 at + "key_digests/0", "used once");
    expect_error(field("key_digests", quoted), at + "key_digests", "an array");
    expect_error(field("rank", quoted), at + "rank", "whole number");
    expect_error(field("burst", "[" + quoted + "]"), at + "burst", "a number");
    expect_error(field("keys", "[" + quoted + "]"), at + "keys", "expected");
    expect_error(R"({"teams": {"rows": [[")" + secret + R"("]]}})",
                 "document/teams", "an array");
    expect_error(R"({"tenants": {"rows": [[")" + secret + R"("]]}})",
                 "document/tenants", "expected");
}
