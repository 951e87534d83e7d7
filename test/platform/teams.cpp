// The operators' table of teams: each field, malformed rows, no key in errors.
#include <gtest/gtest.h>

#include "io/sha256.hpp"
#include "platform/records.hpp"

using namespace skylark;

namespace {

const std::string secret = "hidden-key-1";

std::string configuration(const std::string& tenants) {
    return R"({"version":"00000007","routes":{"columns":["name","prefix",)"
           R"("kind","service","priority","public"],"rows":[)"
           R"(["r1","/a/","safe","stock",1,null],)"
           R"(["r2","/b/","safe","stock",4,true]]},)"
           R"("services":{"columns":["name"],"rows":[["stock"]]},"tenants":)" +
           tenants + "}";
}

std::string table(const std::string& rows) {
    return R"({"columns":["name","api_keys","priority","rate_per_s","burst"],)"
           R"("rows":[)" +
           rows + "]}";
}

parsed<document> read(const std::string& tenants) {
    return platform::read_configuration(configuration(tenants), {{"a"}, 60},
                                        {});
}

void expect_error(const std::string& tenants, const std::string& part) {
    const auto got = read(tenants);
    ASSERT_FALSE(got) << tenants;
    const std::string text = got.error().text();
    EXPECT_NE(text.find(part), std::string::npos) << text;
    EXPECT_EQ(text.find(secret), std::string::npos) << text;
}

} // namespace

TEST(platform_teams, are_read_with_digests_in_place_of_keys) {
    const auto got = read(table(R"(["reds",["k1","k2","k1"],2,12.5,40],)"
                                R"(["blues",null,null,null,null])"));
    ASSERT_TRUE(got) << got.error().text();
    const auto& teams = got.value().m_teams;
    ASSERT_EQ(teams.size(), 2U);
    EXPECT_EQ(teams[0],
              (team{"reds",
                    {io::sha256_digest("k1"), io::sha256_digest("k2")},
                    2,
                    12.5,
                    40}));
    EXPECT_EQ(teams[1], (team{"blues"}));
    EXPECT_FALSE(got.value().find_rule("r1")->m_public);
    EXPECT_TRUE(got.value().find_rule("r2")->m_public);
}

TEST(platform_teams, are_none_without_the_table) {
    std::string text = configuration("0");
    text.erase(text.find(R"(,"tenants")"));
    const auto got = platform::read_configuration(text + "}", {{"a"}, 60}, {});
    ASSERT_TRUE(got) << got.error().text();
    EXPECT_TRUE(got.value().m_teams.empty());
}

TEST(platform_teams, errors_name_row_field_and_number) {
    const std::string good = R"(["reds",["k1"],0,1,1],)";
    expect_error(table(good + R"(["a",["k2"],-1,1,1])"),
                 "tenants/1, priority: -1");
    expect_error(table(good + R"(["a",["k2"],1.5,1,1])"),
                 "tenants/1, priority: 1.5");
    expect_error(table(good + R"(["a",["k2"],1,-1,1])"),
                 "tenants/1, rate_per_s: -1");
    expect_error(table(good + R"(["a",["k2"],1,1,1e12])"),
                 "tenants/1, burst: 1000000000000");
    expect_error(table(good + R"([null,["k2"]])"), "tenants/1, name");
    expect_error(table(good + R"(["reds",["k2"]])"), "a name used once");
    expect_error(table(good + R"(["a\nb",["k2"]])"), "document/teams/1/name");
    expect_error("null", "tenants, ");
    expect_error("[]", "tenants, ");
}

// A row with a cell too many or too few puts keys into other columns.
TEST(platform_teams, errors_show_no_key) {
    const std::string key = '"' + secret + '"';
    for (const std::string& bad :
         {"[1," + key + "]", "[" + key + ",\"\"]", "[" + key + ",\"a\\nb\"]",
          "[\"" + secret + " \"]", "[[" + key + "]]"})
        expect_error(table(R"(["a",)" + bad + "]"), "api_keys/");
    expect_error(table(R"(["a",)" + key + "]"), "api_keys: a value");
    expect_error(table(R"(["a",[],)" + key + "]"), "priority: a value");
    expect_error(table(R"(["a",[],0,[)" + key + "]]"), "rate_per_s: a value");
    expect_error(table(R"(["a",[],0,0,{"x":)" + key + "}]"), "burst: a value");
    expect_error(table("[[" + key + "]]"), "name: no text");
    expect_error(table(R"(["a",[)" + key + R"(]],["b",[)" + key + "]]"),
                 "document/teams/1/key_digests/0");
    expect_error(R"({"rows":[["a",[)" + key + "]]]}", "columns");
    expect_error(R"(["a",[)" + key + "]]", "tenants, ");
}
