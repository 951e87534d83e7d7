// The first matching rule applies; prefixes match whole path segments.
#include <skylark/rule/classify.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

std::string_view no_header(std::string_view) {
    return {};
}

std::vector<rule> rules() {
    rule urgent;
    urgent.m_name = "hail";
    urgent.m_path_prefix = "/stock";
    urgent.m_header = "X-Urgent";
    urgent.m_header_value = "hail";
    rule read;
    read.m_name = "read";
    read.m_method = "GET";
    read.m_path_prefix = "/stock";
    return {urgent, read};
}

std::string matching_rule_name(std::string_view method, std::string_view path,
                               const header_lookup& header = no_header,
                               std::string_view host = "any.example") {
    const auto list = rules();
    const rule* found = classify(list, method, path, host, header);
    return found ? found->m_name : "none";
}

} // namespace

TEST(classify, first_match_wins) {
    const auto urgent = [](std::string_view) -> std::string_view {
        return "hail";
    };
    EXPECT_EQ(matching_rule_name("GET", "/stock/3", urgent), "hail");
    EXPECT_EQ(matching_rule_name("GET", "/stock/3"), "read");
    EXPECT_EQ(matching_rule_name("POST", "/stock/3"), "none");
}

TEST(classify, prefixes_match_whole_segments) {
    EXPECT_EQ(matching_rule_name("GET", "/stock"), "read");
    EXPECT_EQ(matching_rule_name("GET", "/stock?size=1"), "read");
    EXPECT_EQ(matching_rule_name("GET", "/stocks"), "none");
    EXPECT_EQ(matching_rule_name("GET", "/"), "none");
}
