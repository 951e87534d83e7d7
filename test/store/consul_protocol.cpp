// Requests follow Consul's public API; malformed answers are errors.
#include "store/consul_protocol.hpp"

#include <gtest/gtest.h>

using namespace skylark;
using store::consul_protocol;

namespace {

io::fetch_answer answer(int status, std::string index, std::string body) {
    return {status, {{"x-consul-index", std::move(index)}}, std::move(body)};
}

} // namespace

TEST(consul_protocol, formats_requests) {
    const consul_protocol subject;
    EXPECT_EQ(subject.get("k", 0, seconds{1}).m_path, "/v1/kv/k?raw&");
    EXPECT_EQ(subject.get("k", 7, seconds{2}).m_path,
              "/v1/kv/k?raw&index=7&wait=2000ms");
    const auto swap = subject.swap("k", 7, "text");
    EXPECT_EQ(swap.m_method, "PUT");
    EXPECT_EQ(swap.m_path, "/v1/kv/k?cas=7");
    EXPECT_EQ(swap.m_body, "text");
}

TEST(consul_protocol, reads_answers) {
    const consul_protocol subject;
    const auto value = subject.read_value(answer(200, "9", "doc"));
    ASSERT_TRUE(value);
    EXPECT_EQ(value.value().m_position, store_position{9});
    EXPECT_FALSE(
        subject.read_value(answer(404, "9", "")).value().m_position.known());
    EXPECT_FALSE(subject.read_value(answer(500, "9", "")));
    EXPECT_FALSE(subject.read_value(answer(200, "", "doc")));
    for (const char* index : {"x", "9x", "9 9", "-9", "99999999999999999999"})
        EXPECT_FALSE(subject.read_value(answer(200, index, "doc"))) << index;
    EXPECT_TRUE(subject.read_swap(answer(200, "", "true")).value());
    EXPECT_FALSE(subject.read_swap(answer(200, "", "false")).value());
    for (const char* body : {"", "tr", "fals", "null"})
        EXPECT_FALSE(subject.read_swap(answer(200, "", body))) << body;
}

TEST(consul_protocol, reads_the_catalogue) {
    instance_list list;
    list.m_index = 5;
    list.m_instances = {{"a",
                         instance_role::upstream,
                         {0x7f000001U, 80},
                         "stock",
                         "enna",
                         "",
                         true}};
    const auto read = store::parse_instances(
        R"([{"ServiceID":"a","ServiceAddress":"127.0.0.1","ServicePort":80,
             "ServiceMeta":{"role":"upstream","service":"stock",
                            "zone":"enna","state":"leaving"}}])",
        5);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), list);
    std::vector<std::string> odd;
    const auto empty = store::parse_instances(
        "[{}]", 5, [&](const input_error& why) { odd.push_back(why.text()); });
    ASSERT_TRUE(empty);
    EXPECT_TRUE(empty.value().m_instances.empty());
    EXPECT_EQ(odd.size(), 1U);
    for (const char* text : {"no", "{}", "7", "null", ""})
        EXPECT_FALSE(store::parse_instances(text, 5)) << text;
}
