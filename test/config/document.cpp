// Documents round-trip through JSON; errors name the place of each violation.
#include <skylark/config/document.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

document sample() {
    document out;
    out.m_change_id = "c1";
    out.m_zones = {{"enna", "sicily", zone_state::drained}};
    out.m_services = {{"stock", 6, 2, 1, "two_choices"}};
    out.m_rules = {{"get", "stock", "GET", "/stock", "X-Hail", "yes",
                    request_class::urgent, true, milliseconds{700}}};
    out.m_limits.m_hedge_percent = 7;
    return out;
}

void expect_error(const std::string& text, const std::string& place,
                  const std::string& part) {
    const auto read = parse_document(text);
    ASSERT_FALSE(read) << text;
    EXPECT_EQ(read.error().m_place, place);
    EXPECT_NE(read.error().text().find(part), std::string::npos)
        << read.error().text();
}

} // namespace

TEST(document, round_trip) {
    const auto read = parse_document(format_document(sample()));
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(read.value(), sample());
}

TEST(document, the_compact_form_reads_back_and_is_less_than_half_as_long) {
    document subject = sample();
    for (int i = 0; i < 100; ++i) {
        rule added = subject.m_rules.front();
        added.m_name = "r" + std::to_string(i);
        added.m_path_prefix = "/r" + std::to_string(i) + "/";
        subject.m_rules.push_back(added);
    }
    const std::string text = format_compact_document(subject);
    const auto read = parse_document(text);
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(read.value(), subject);
    EXPECT_LT(2 * text.size(), format_document(subject).size());
}

TEST(document, names_place_and_value_of_errors) {
    expect_error("{", "document, byte 2", "JSON");
    expect_error("[]", "document/", "an object");
    expect_error(R"({"zonse": []})", "document/zonse", "\"zones\" perhaps");
    expect_error(R"({"services": [{"name": "a", "slots": "6"}]})",
                 "document/services/0/slots", "whole number");
    expect_error(R"({"services": [{"name": "a", "slots": -1}]})",
                 "document/services/0/slots", "-1");
    expect_error(R"({"zones": [{"name": "a", "state": "drain"}]})",
                 "document/zones/0/state", "drained");
}

TEST(document, refuses_inconsistent_documents) {
    document twice = sample();
    twice.m_zones.push_back(twice.m_zones[0]);
    expect_error(format_document(twice), "document/zones/1/name", "once");
    document unknown_service = sample();
    unknown_service.m_rules[0].m_service = "stokc";
    expect_error(format_document(unknown_service), "document/rules/0/service",
                 "stokc");
    document cold = sample();
    cold.m_services[0].m_cold_slots = 7;
    expect_error(format_document(cold), "document/services/0/cold_slots",
                 "between 1 and slots");
    document reserve = sample();
    reserve.m_services[0].m_urgent_reserve = 6;
    expect_error(format_document(reserve), "document/services/0/urgent_reserve",
                 "less than slots");
    document policy = sample();
    policy.m_services[0].m_policy = "best";
    expect_error(format_document(policy), "document/services/0/policy",
                 "round_robin");
}
