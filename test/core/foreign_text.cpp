// Texts of others become one line of UTF-8, their JSON a tree of few levels.
#include "core/foreign_text.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "core/json_text.hpp"

using namespace skylark;

TEST(foreign_text, malformed_bytes_and_control_characters_are_replaced) {
    EXPECT_EQ(clean_text("z\xc3\xbcrich \xf0\x9f\x90\xa6"),
              "z\xc3\xbcrich \xf0\x9f\x90\xa6");
    EXPECT_EQ(clean_text("a\nb\r\x1b[2J\x7f"), "a?b??[2J?");
    EXPECT_EQ(clean_text("\xc2\x9b\xe2\x80\xa8"), "??"); // C1, line separator
    for (const char* wrong :
         {"\xff", "\x80", "\xc3", "\xc0\xaf", "\xe0\x80\x80", "\xed\xa0\x80",
          "\xf4\x90\x80\x80", "\xf0\x9f\x90", "\xc3(", "\xf8\x88\x80\x80"}) {
        EXPECT_FALSE(is_utf8(wrong)) << wrong;
        const std::string clean = clean_text(std::string{"a"} + wrong + "b");
        EXPECT_TRUE(is_utf8(clean));
        EXPECT_EQ(clean.front(), 'a');
        EXPECT_EQ(clean.back(), 'b');
    }
}

TEST(foreign_text, long_texts_are_cut_between_characters) {
    std::string umlauts;
    for (int i = 0; i < 100; ++i)
        umlauts += "\xc3\xbc";
    for (std::size_t longest = 3; longest < 210; ++longest) {
        const std::string clean = clean_text(umlauts, longest);
        EXPECT_LE(clean.size(), longest);
        EXPECT_TRUE(is_utf8(clean)) << longest;
    }
    EXPECT_EQ(clean_text(umlauts, 200), umlauts);
}

TEST(json_text, deep_trees_and_bad_bytes_are_errors) {
    const auto nested = [](std::size_t levels) {
        return std::string(levels, '[') + std::string(levels, ']');
    };
    EXPECT_TRUE(parse_json(nested(most_json_levels), "p"));
    EXPECT_TRUE(parse_json('"' + nested(100) + "\\\"" + nested(100) + '"', ""));
    for (const std::string& text :
         {nested(most_json_levels + 1), nested(100'000),
          std::string(100'000, '{'), std::string{"\xff"}, std::string{},
          std::string{"\"\xff\""}, std::string{"1e400"}, std::string{"{"}}) {
        const auto read = parse_json(text, "place");
        ASSERT_FALSE(read);
        EXPECT_TRUE(read.error().m_place.starts_with("place"));
        EXPECT_TRUE(is_utf8(read.error().text()));
        EXPECT_LT(read.error().text().size(), 400U);
    }
}

TEST(json_text, writing_bytes_that_are_no_utf8_does_not_throw) {
    EXPECT_EQ(json_text(nlohmann::json("a\xff")), "\"a\xef\xbf\xbd\"");
    EXPECT_LE(json_excerpt(std::string(100'000, '\xfe')).size(), 200U);
}
