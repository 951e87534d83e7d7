// Calls are formatted and answers read; what does not fit is one error.
#include "platform/kv_protocol.hpp"

#include <gtest/gtest.h>

#include "store/base64.hpp"

using namespace skylark;

namespace {

io::fetch_answer answer(int status, std::string body) {
    io::fetch_answer out;
    out.m_status = status;
    out.m_body = std::move(body);
    return out;
}

const platform::kv_protocol protocol;

} // namespace

TEST(kv_protocol, escapes_keys) {
    EXPECT_EQ(protocol.range("op/", "op/a b&c").m_path,
              "/kv-range?prefix=op/&after=op/a%20b%26c");
    EXPECT_EQ(protocol.watch("", 7, milliseconds{1500}).m_path,
              "/kv-watch?prefix=&after=7&wait_ms=1500");
}

TEST(kv_protocol, a_watch_outlasts_its_wait) {
    EXPECT_GT(protocol.watch("", 7, seconds{2}).m_timeout, seconds{2});
}

TEST(kv_protocol, reads_a_page) {
    const auto page = protocol.read_page(
        answer(200, R"({"items":[{"key":"op/x","value":"YWI=","revision":4,)"
                    R"("created_rev":2,"lease":0}],"truncated":true,)"
                    R"("current_rev":9})"));
    ASSERT_TRUE(page) << page.error().text();
    EXPECT_EQ(page.value().m_records.at(0).m_value, "ab");
    EXPECT_EQ(page.value().m_records.at(0).m_revision, 4U);
    EXPECT_TRUE(page.value().m_more);
    EXPECT_EQ(page.value().m_revision, 9U);
}

TEST(kv_protocol, reads_changes_and_lost_history) {
    const auto changes = protocol.read_changes(
        answer(200, R"({"events":[{"key":"a","revision":5,"deleted":true}],)"
                    R"("current_rev":6})"));
    ASSERT_TRUE(changes) << changes.error().text();
    const auto& list = std::get<store::record_changes>(changes.value());
    EXPECT_TRUE(list.m_records.at(0).m_deleted);
    EXPECT_EQ(list.m_revision, 6U);
    const auto lost = protocol.read_changes(answer(410, ""));
    ASSERT_TRUE(lost);
    EXPECT_TRUE(std::holds_alternative<store::history_lost>(lost.value()));
}

TEST(kv_protocol, everything_else_is_an_error) {
    for (const int status : {400, 403, 404, 412, 429, 500, 503}) {
        EXPECT_FALSE(protocol.read_page(answer(status, "{}"))) << status;
        EXPECT_FALSE(protocol.read_changes(answer(status, "{}"))) << status;
        EXPECT_FALSE(protocol.read_lease(answer(status, "{}"))) << status;
    }
    for (const char* body :
         {"", "{", "[]", "{}", R"({"items":[{}],"current_rev":-1})",
          R"({"items":[],"current_rev":18446744073709551615})",
          R"({"items":[{}],"truncated":true,"current_rev":1})",
          R"({"events":[],"current_rev":"1"})", R"({"items":[]})",
          R"({"events":7,"current_rev":1})",
          R"({"items":7,"current_rev":1})"}) {
        EXPECT_FALSE(protocol.read_page(answer(200, body))) << body;
        EXPECT_FALSE(protocol.read_changes(answer(200, body))) << body;
    }
}

TEST(kv_protocol, an_item_that_cannot_be_read_is_told_and_names_nothing) {
    const auto nameless =
        protocol.read_page(answer(200, R"({"items":[{}],"current_rev":1})"));
    ASSERT_TRUE(nameless) << nameless.error().text();
    EXPECT_TRUE(nameless.value().m_records.empty());
    ASSERT_EQ(nameless.value().m_odd.size(), 1U);
    const auto undecoded = protocol.read_page(
        answer(200, R"({"items":[{"key":"k","revision":1,"value":"?"}],)"
                    R"("current_rev":1})"));
    ASSERT_TRUE(undecoded) << undecoded.error().text();
    ASSERT_EQ(undecoded.value().m_odd.size(), 1U);
    EXPECT_EQ(undecoded.value().m_odd[0].text(),
              "store, item 0 k: got text is no base64, expected a record");
    EXPECT_EQ(undecoded.value().m_records.at(0).m_value, "");
}

TEST(base64, round_trip) {
    for (const std::string& bytes :
         {std::string{}, std::string{"a"}, std::string{"ab"},
          std::string{"abc"}, std::string{"\0\xff\n", 3}})
        EXPECT_EQ(store::decode_base64(store::encode_base64(bytes)), bytes);
    EXPECT_THROW(store::decode_base64("abc"), std::invalid_argument);
    EXPECT_THROW(store::decode_base64("a?c="), std::invalid_argument);
    for (const char* text : {"====", "A===", "YW=j", "=WJj", "YWI=\n\n\n\n",
                             "\n\n\n\nYWI=", "    ", "YWI=YWI="})
        EXPECT_THROW(store::decode_base64(text), std::invalid_argument) << text;
}
