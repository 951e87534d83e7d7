// Keys of teams at a whole entry on the users' platform.
#include "test/io/raw_caller.hpp"
#include "test/platform/team_node.hpp"

using namespace skylark;
using skylark::test::team_node;
using skylark::test::with_teams;

TEST_F(team_node, a_key_leads_to_the_name_of_its_team) {
    start_with_teams();
    EXPECT_EQ(status(ask_as("key-red", "/a/x")), 200);
    const std::string& got = last_fields();
    EXPECT_EQ(count(got, "tenant: reds\n"), 1U) << got;
    EXPECT_EQ(count(got, "key-red"), 0U) << got;
}

TEST_F(team_node, a_request_without_a_key_of_a_team_is_refused_for_good) {
    start_with_teams();
    const int before = m_near.m_requests + m_far.m_requests;
    for (const char* key : {"", "key-none", "KEY-RED", "key-re", "reds"}) {
        const auto got = ask_as(key, "/a/x");
        ASSERT_EQ(status(got), 401) << key;
        const auto& answer = std::get<io::fetch_answer>(got);
        EXPECT_EQ(answer.header_value("Retry-After"), "");
        EXPECT_EQ(answer.header_value("WWW-Authenticate"), "Credential");
        EXPECT_EQ(answer.m_body, "no team has the key of this request\n");
    }
    // Which of two keys counts is not defined, so neither does.
    EXPECT_EQ(status(ask_as("key-red", "/a/x", {{"Credential", "key-none"}})),
              401);
    EXPECT_EQ(m_near.m_requests + m_far.m_requests, before);
}

TEST_F(team_node, what_the_caller_says_of_its_team_is_dropped) {
    start_with_teams();
    EXPECT_EQ(status(ask_as("key-blue", "/a/x", {{"tenant", "reds"}})), 200);
    EXPECT_EQ(count(last_fields(), "tenant: "), 1U) << last_fields();
    EXPECT_EQ(count(last_fields(), "tenant: blues\n"), 1U) << last_fields();
}

TEST_F(team_node, a_public_route_needs_no_key_and_names_no_team) {
    start_with_teams();
    for (const char* key : {"", "key-none", "key-red"}) {
        EXPECT_EQ(status(ask_as(key, "/open/x", {{"Tenant", "reds"}})), 200);
        EXPECT_EQ(count(last_fields(), "tenant: "), 0U) << last_fields();
        EXPECT_EQ(count(last_fields(), "key-"), 0U) << last_fields();
    }
}

TEST_F(team_node, without_teams_both_fields_are_passed_on) {
    start_with_upstreams();
    EXPECT_EQ(status(ask_as("key-none", "/a/x", {{"Tenant", "reds"}})), 200);
    EXPECT_EQ(count(last_fields(), "tenant: reds\n"), 1U) << last_fields();
    EXPECT_EQ(count(last_fields(), "key-none"), 1U) << last_fields();
}

TEST_F(team_node, an_added_key_works_and_a_removed_one_stops_in_time) {
    start_with_teams();
    m_store.put("op/config", with_teams("00000009", "key-new"));
    const time_point limit = io::event_loop::now() + m_settings.m_apply_limit;
    turn_until([this] {
        return status(ask_as("key-new", "/a/x")) == 200 &&
               status(ask_as("key-red", "/a/x")) == 401;
    });
    EXPECT_LE(io::event_loop::now(), limit);
}

// The connection was authenticated before the key was removed.
TEST_F(team_node, a_removed_key_stops_on_an_open_connection) {
    start_with_teams();
    test::raw_caller caller{m_settings.m_callers};
    const auto ends_with = [&](const std::string& line) {
        EXPECT_TRUE(caller.read()); // what is left of the answer before
        const std::size_t before = caller.bytes().size();
        caller.write("GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r9"
                     "\r\nCredential: key-red\r\n\r\n");
        turn_until([&] {
            EXPECT_TRUE(caller.read());
            return caller.bytes().find("\r\n\r\n", before) != std::string::npos;
        });
        return caller.bytes().compare(before, line.size(), line) == 0;
    };
    ASSERT_TRUE(ends_with("HTTP/1.1 200 "));
    turn_for(milliseconds{50}); // the body
    m_store.put("op/config", with_teams("00000009", "key-new"));
    turn_until([this] { return status(ask_as("key-new", "/a/x")) == 200; });
    EXPECT_TRUE(ends_with("HTTP/1.1 401 ")) << caller.bytes();
}

// It cannot know whether a newer configuration holds the key.
TEST_F(team_node, an_entry_that_may_lag_behind_does_not_deny_a_key) {
    m_settings.m_apply_limit = milliseconds{1500};
    start_with_teams();
    ASSERT_EQ(status(ask_as("key-new", "/a/x")), 401);
    standin::kv_faults faults;
    faults.m_silent = true;
    m_store.set_faults(faults);
    turn_until([this] { return status(ask_as("key-new", "/a/x")) != 401; });
    for (const char* key : {"key-new", ""}) {
        const auto got = ask_as(key, "/a/x");
        ASSERT_EQ(status(got), 503);
        EXPECT_NE(std::get<io::fetch_answer>(got).header_value("Retry-After"),
                  "");
    }
    // The keys that it knows go on working.
    EXPECT_EQ(status(ask_as("key-red", "/a/x")), 200);
    m_store.put("op/config", with_teams("00000009", "key-new"));
    m_store.set_faults({});
    turn_until([this] { return status(ask_as("key-new", "/a/x")) == 200; });
    turn_until([this] { return status(ask_as("", "/a/x")) == 401; });
}

TEST_F(team_node, a_bad_team_leaves_the_configuration_in_force) {
    start_with_teams();
    std::string bad = with_teams("00000009", "key-new");
    bad.replace(bad.find("\"blues\""), 7, "7");
    m_store.put("op/config", bad);
    turn_for(milliseconds{800});
    EXPECT_EQ(status(ask_as("key-red", "/a/x")), 200);
    EXPECT_EQ(status(ask_as("key-new", "/a/x")), 401);
}

// The copy lacks the newer configuration, which stays in force.
TEST_F(team_node, a_returned_older_configuration_takes_no_key_back) {
    start_with_teams();
    m_store.save_copy();
    m_store.put("op/config", with_teams("00000009", "key-new"));
    turn_until([this] { return status(ask_as("key-new", "/a/x")) == 200; });
    ASSERT_TRUE(m_store.restore_copy());
    const time_point end = io::event_loop::now() + seconds{2};
    while (io::event_loop::now() < end) {
        ASSERT_EQ(status(ask_as("key-new", "/a/x")), 200);
        ASSERT_NE(status(ask_as("key-red", "/a/x")), 200);
    }
    // Operators go back to the earlier keys under a new version.
    m_store.put("op/config", with_teams("0000000b", "key-red"));
    turn_until([this] {
        return status(ask_as("key-red", "/a/x")) == 200 &&
               status(ask_as("key-new", "/a/x")) == 401;
    });
}

TEST_F(team_node, the_last_team_leaves_and_requests_need_no_key) {
    start_with_teams();
    std::string open = test::configuration;
    open.replace(open.find("00000007"), 8, "00000009");
    m_store.put("op/config", open);
    turn_until([this] { return status(ask_as("", "/a/x")) == 200; });
}
