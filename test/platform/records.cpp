// Operators' and upstreams' records: each field, and everything malformed.
#include "platform/records.hpp"

#include <gtest/gtest.h>

#include "core/foreign_text.hpp"
#include "test/platform/odd_values.hpp"

using namespace skylark;

namespace {

const platform::deployment_terms terms{{"a", "b"}, 60};

// A configuration with the given rows of routes.
std::string configuration(const std::string& rows) {
    return R"({"version":"00000007","routes":{"columns":["name","host",)"
           R"("prefix","kind","timeout_ms","target_latency_ms","priority",)"
           R"("split","max_attempts","service"],"rows":[)" +
           rows +
           R"(]},"services":{"columns":["max_conns","name","health_path"],)"
           R"("rows":[[220,"stock","/h"],[90,"plans","/h"]]},)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

const std::string read_row =
    R"(["r1","h.example","/a/","safe",1000,250.5,2,null,2,"stock"])";

document read(const std::string& text,
              const std::vector<std::string>& drained = {}) {
    auto out = platform::read_configuration(text, terms, drained);
    EXPECT_TRUE(out) << out.error().text();
    return out ? out.value() : document{};
}

parsed<instance> upstream(const std::string& text) {
    return platform::read_upstream("i-1", text, time_point{seconds{100}});
}

const std::string good_upstream =
    R"({"address":"10.0.0.1:80","born":5,"info":{"service":"stock",)"
    R"("version":"v1","zone":"a","slots":6},"status":{"state":"ready",)"
    R"("seq_no":4,"warmup_left_ms":1500}})";

} // namespace

TEST(platform_records, reads_a_route) {
    const document found = read(configuration(read_row));
    ASSERT_EQ(found.m_rules.size(), 1U);
    const rule& first = found.m_rules[0];
    EXPECT_EQ(first.m_host, "h.example");
    EXPECT_EQ(first.m_path_prefix, "/a/");
    EXPECT_EQ(first.m_service, "stock");
    EXPECT_TRUE(first.m_idempotent);
    EXPECT_EQ(first.m_deadline, milliseconds{1000});
    EXPECT_EQ(first.m_target, microseconds{250500});
    EXPECT_EQ(first.m_max_attempts, 2U);
    EXPECT_EQ(found.m_limits.m_idle, seconds{15});
    EXPECT_EQ(found.m_limits.m_connections_per_upstream, 90U);
    EXPECT_EQ(found.m_limits.m_probes_per_upstream, 60U);
    EXPECT_EQ(found.m_services[0].m_health_path, "/h");
    EXPECT_FALSE(found.m_services[0].m_shares);
}

TEST(platform_records, the_kind_says_what_may_be_repeated) {
    const auto with_kind = [](const std::string& kind) {
        std::string row = read_row;
        row.replace(row.find("safe"), 4, kind);
        return read(configuration(row)).m_rules.at(0);
    };
    EXPECT_TRUE(with_kind("safe").m_idempotent);
    EXPECT_TRUE(with_kind("download").m_idempotent);
    EXPECT_EQ(with_kind("download").m_class, request_class::bulk);
    EXPECT_FALSE(with_kind("unsafe").m_idempotent);
    EXPECT_FALSE(with_kind("anything else").m_idempotent);
}

TEST(platform_records, the_longest_prefix_and_the_highest_rank_go_first) {
    const document found = read(configuration(
        R"(["r1","h","/a/","safe",1000,1,2,null,2,"stock"],)"
        R"(["r2","h","/a/b/","safe",null,1,1,null,null,"plans"])"));
    EXPECT_EQ(found.m_rules[0].m_name, "r2");
    EXPECT_EQ(found.m_rules[0].m_class, request_class::urgent);
    EXPECT_EQ(found.m_rules[1].m_class, request_class::normal);
    // Without a time limit the caller's own deadline decides.
    EXPECT_GT(found.m_rules[0].m_deadline, seconds{60});
}

TEST(platform_records, reads_a_split) {
    const document found = read(configuration(
        R"(["r1","h","/a/","safe",1000,1,2,[{"service":"stock","weight":90},)"
        R"({"service":"plans","weight":10}],2,null])"));
    ASSERT_EQ(found.m_rules[0].m_split.size(), 2U);
    EXPECT_EQ(found.m_rules[0].m_split[1].m_service, "plans");
    EXPECT_EQ(found.m_rules[0].m_split[1].m_weight, 10U);
}

TEST(platform_records, the_document_survives_its_own_format) {
    const document found = read(configuration(read_row), {"b"});
    const auto again = parse_document(format_document(found));
    ASSERT_TRUE(again) << again.error().text();
    EXPECT_EQ(again.value().m_rules[0].m_host, "h.example");
    EXPECT_EQ(again.value().m_services, found.m_services);
    EXPECT_EQ(again.value().m_limits, found.m_limits);
}

TEST(platform_records, drained_zones_take_no_work) {
    const document found = read(configuration(read_row), {"b", "unlisted"});
    EXPECT_EQ(found.find_zone("a")->m_state, zone_state::active);
    EXPECT_EQ(found.find_zone("b")->m_state, zone_state::drained);
    EXPECT_EQ(found.find_zone("unlisted")->m_state, zone_state::drained);
}

TEST(platform_records, refuses_what_is_no_configuration) {
    const std::vector<std::string> wrong{
        "",
        "no",
        "[]",
        "{}",
        configuration(R"(["r1"])"),
        configuration(R"(["r1","h","/a/","safe",1,1,2,null,2,"unknown"])"),
        configuration(R"(["r1","h",7,"safe",1,1,2,null,2,"stock"])"),
        configuration(R"(["r1","h","/a/","safe","x",1,2,null,2,"stock"])"),
        configuration(
            R"(["r1","h","/a/","safe",1,1,2,[{"weight":1}],2,null])")};
    for (const std::string& text : wrong)
        EXPECT_FALSE(platform::read_configuration(text, terms, {})) << text;
}

TEST(platform_records, numbers_out_of_range_are_refused_with_place_and_value) {
    const auto row = [](const std::string& timeout, const std::string& target,
                        const std::string& priority, const std::string& weight,
                        const std::string& attempts) {
        return configuration(R"(["r1","h","/a/","safe",)" + timeout + "," +
                             target + "," + priority +
                             R"(,[{"service":"stock","weight":)" + weight +
                             "}]," + attempts + ",null]");
    };
    ASSERT_TRUE(platform::read_configuration(row("1", "1", "2.0", "1", "2"),
                                             terms, {}));
    for (const char* odd : {"-1", "1e300", "9223372036854775807",
                            "18446744073709551615", "\"7\"", "[[7]]", "true"}) {
        for (const std::string& text :
             {row(odd, "1", "2", "1", "2"), row("1", odd, "2", "1", "2"),
              row("1", "1", odd, "1", "2"), row("1", "1", "2", odd, "2"),
              row("1", "1", "2", "1", odd)}) {
            const auto read = platform::read_configuration(text, terms, {});
            ASSERT_FALSE(read) << text;
            EXPECT_NE(read.error().m_value.find("routes/0"), std::string::npos)
                << read.error().text();
        }
        for (const std::string place :
             {"16384", "67108864", "15000", "90,\"plans\""}) {
            std::string text = configuration(read_row);
            std::string to = odd;
            if (place.ends_with('"'))
                to += ",\"plans\"";
            text.replace(text.find(place), place.size(), to);
            EXPECT_FALSE(platform::read_configuration(text, terms, {})) << text;
        }
    }
    for (const std::string place : {"16384", "67108864", "15000"}) {
        std::string text = configuration(read_row);
        text.replace(text.find(place), place.size(), "0");
        EXPECT_FALSE(platform::read_configuration(text, terms, {})) << text;
    }
    EXPECT_FALSE(platform::read_configuration(row("1", "1", "2.5", "1", "2"),
                                              terms, {}));
}

TEST(platform_records, a_warm_up_below_zero_is_over) {
    std::string text = good_upstream;
    text.replace(text.find("1500"), 4, "-20.5");
    const auto found = upstream(text);
    ASSERT_TRUE(found) << found.error().text();
    EXPECT_EQ(found.value().m_cold_until, time_point{});
}

TEST(platform_records, odd_values_name_no_upstream) {
    ASSERT_TRUE(upstream(test::odd_record("5", "5")));
    for (const std::string& text : test::odd_values()) {
        const auto read = upstream(text);
        ASSERT_FALSE(read) << text.substr(0, 300);
        EXPECT_TRUE(is_utf8(read.error().text()));
        EXPECT_LT(read.error().text().size(), 500U);
    }
}

TEST(platform_records, reads_an_upstream) {
    const auto found = upstream(good_upstream);
    ASSERT_TRUE(found) << found.error().text();
    EXPECT_EQ(found.value().m_id, "i-1");
    EXPECT_EQ(found.value().m_address.text(), "10.0.0.1:80");
    EXPECT_EQ(found.value().m_service, "stock");
    EXPECT_EQ(found.value().m_zone, "a");
    EXPECT_EQ(found.value().m_incarnation, 5U);
    EXPECT_FALSE(found.value().m_leaving);
    EXPECT_EQ(found.value().m_cold_until, time_point{milliseconds{101500}});
}

TEST(platform_records, foreign_records_name_no_upstream) {
    const auto changed = [](const std::string& from, const std::string& to) {
        std::string text = good_upstream;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::vector<std::string> wrong{
        "",
        "\xff\xfe",
        "17",
        "[]",
        "{}",
        "null",
        changed("\"ready\"", "\"resting\""),
        changed("\"ready\"", "7"),
        changed("\"service\":\"stock\",", ""),
        changed("\"stock\"", "[\"stock\"]"),
        changed("10.0.0.1:80", "10.0.0.1"),
        changed("\"10.0.0.1:80\"", "80"),
        changed("\"status\"", "\"stats\""),
        changed("\"zone\":\"a\"", "\"z\":1"),
        changed("\"born\":5", "\"born\":\"five\""),
        changed("1500", "\"long\"")};
    for (const std::string& text : wrong)
        EXPECT_FALSE(upstream(text)) << text;
}
