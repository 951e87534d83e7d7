// The first matching rule decides; prefixes end at path segments.
#include <skylark/rule/classify.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

std::string_view no_header(std::string_view) {
    return {};
}

std::vector<rule> rules() {
    rule hail;
    hail.m_name = "hail";
    hail.m_path_prefix = "/stock";
    hail.m_header = "X-Urgent";
    hail.m_header_value = "hail";
    rule read;
    read.m_name = "read";
    read.m_method = "GET";
    read.m_path_prefix = "/stock";
    return {hail, read};
}

std::string name_of_match(std::string_view method, std::string_view path,
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
    EXPECT_EQ(name_of_match("GET", "/stock/3", urgent), "hail");
    EXPECT_EQ(name_of_match("GET", "/stock/3"), "read");
    EXPECT_EQ(name_of_match("POST", "/stock/3"), "none");
}

TEST(classify, prefixes_end_at_segments) {
    EXPECT_EQ(name_of_match("GET", "/stock"), "read");
    EXPECT_EQ(name_of_match("GET", "/stock?size=1"), "read");
    EXPECT_EQ(name_of_match("GET", "/stocks"), "none");
    EXPECT_EQ(name_of_match("GET", "/"), "none");
}
