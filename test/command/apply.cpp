// Valid changes are applied; invalid ones are refused with their place.
#include <skylark/command/apply.hpp>

#include <gtest/gtest.h>

#include <skylark/command/parse.hpp>

using namespace skylark;

namespace {

document base() {
    document out;
    out.m_zones = {{"enna", "", zone_state::active},
                   {"bronte", "", zone_state::active}};
    out.m_services = {{"stock", 6, 1, 1, "preferred_least"}};
    return out;
}

instance_list instances() {
    instance_list out;
    out.m_instances = {
        {"a", instance_role::upstream, {1, 1}, "stock", "enna", "", false},
        {"b", instance_role::upstream, {2, 1}, "stock", "bronte", "", true}};
    return out;
}

parsed<document> run(const std::string& line, const document& on = base()) {
    const auto read = parse_statement(line);
    EXPECT_TRUE(read) << line;
    return apply(on, std::get<change_statement>(read.value()), instances());
}

void expect_error(const std::string& line, const std::string& part) {
    const auto result = run(line);
    ASSERT_FALSE(result) << line;
    EXPECT_NE(result.error().text().find(part), std::string::npos)
        << result.error().text();
}

} // namespace

TEST(apply, creates_alters_and_removes) {
    auto created = run("create rule r service stock path_prefix /s class bulk "
                       "idempotent true deadline_ms 50");
    ASSERT_TRUE(created) << created.error().text();
    const rule* found = created.value().find_rule("r");
    ASSERT_TRUE(found);
    EXPECT_EQ(found->m_class, request_class::bulk);
    EXPECT_EQ(found->m_deadline, milliseconds{50});
    auto altered = run("alter rule r deadline_ms 70", created.value());
    ASSERT_TRUE(altered);
    EXPECT_EQ(altered.value().find_rule("r")->m_deadline, milliseconds{70});
    auto removed = run("remove rule r", altered.value());
    ASSERT_TRUE(removed);
    EXPECT_FALSE(removed.value().find_rule("r"));
    EXPECT_EQ(run("set hedge_percent 9").value().m_limits.m_hedge_percent, 9U);
}

TEST(apply, sets_whether_a_rule_is_public) {
    auto created = run("create rule r service stock path_prefix /s public "
                       "true");
    ASSERT_TRUE(created) << created.error().text();
    EXPECT_TRUE(created.value().find_rule("r")->m_public);
    expect_error("create rule r service stock path_prefix /s public 1",
                 "true or false");
}

TEST(apply, drains_and_restores_zones) {
    const auto out = run("drain zone bronte");
    ASSERT_TRUE(out);
    EXPECT_EQ(out.value().find_zone("bronte")->m_state, zone_state::drained);
    const auto back = run("restore zone bronte", out.value());
    ASSERT_TRUE(back);
    EXPECT_EQ(back.value(), base());
}

TEST(apply, refuses_to_drain_the_last_zone_of_a_service) {
    expect_error("drain zone enna", "service stock");
    EXPECT_TRUE(run("drain zone enna force"));
}

TEST(apply, errors_name_the_cause) {
    expect_error("drain zone ena", "\"enna\" perhaps");
    expect_error("create zone enna", "not in use");
    expect_error("alter service stock slots six", "column 27");
    expect_error("alter service stock slot 6", "\"slots\" perhaps");
    expect_error("alter service stock slots 0", "/slots");
    expect_error("create rule r service stok path_prefix /s", "stok");
    expect_error("create rule r service stock path_prefix /s class hot",
                 "urgent, normal or bulk");
}

TEST(apply, finds_a_change_after_later_ones) {
    document subject = base();
    for (int i = 0; i < 10; ++i)
        subject.begin_change("change-" + std::to_string(i));
    EXPECT_TRUE(subject.has_change("change-0"));
    EXPECT_TRUE(subject.has_change("change-9"));
    EXPECT_FALSE(subject.has_change("change-10"));
    const auto read = parse_document(format_document(subject));
    ASSERT_TRUE(read);
    EXPECT_TRUE(read.value().has_change("change-0"));
}
