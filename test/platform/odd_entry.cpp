// Another writer leaves odd values in the store; the node lives and follows.
#include <nlohmann/json.hpp>

#include "test/platform/node_fixture.hpp"
#include "test/platform/odd_values.hpp"

namespace skylark::test {

class odd_entry : public platform_node {
protected:
    // What an operator reads; fails the test unless it is JSON.
    nlohmann::json shown(const std::string& statement) {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_path = statement.empty() ? "/events" : "/query";
        what.m_method = statement.empty() ? "GET" : "POST";
        what.m_body = statement;
        const auto result = call(what);
        const auto* answer = std::get_if<io::fetch_answer>(&result);
        EXPECT_TRUE(answer) << statement;
        auto out =
            nlohmann::json::parse(answer ? answer->m_body : "", nullptr, false);
        EXPECT_FALSE(out.is_discarded()) << statement;
        return out;
    }

    void expect_answers_and_follows(int round) {
        const std::string prefix = "/n" + std::to_string(round) + "/";
        std::string next = configuration;
        next.replace(next.find("/b/"), 3, prefix);
        m_store.put("op/config", next);
        turn_until([&] { return status(ask(prefix)) == 200; });
        for (const char* statement :
             {"", "show events", "show upstreams", "show config"})
            shown(statement);
    }
};

TEST_F(odd_entry, odd_values_among_the_servers_end_or_stop_no_entry) {
    start_with_upstreams();
    int round = 0;
    for (const std::string& value : odd_values()) {
        SCOPED_TRACE(value.substr(0, 200));
        m_store.put("servers/odd", value);
        expect_answers_and_follows(++round);
        if (HasFatalFailure())
            return;
        EXPECT_EQ(shown("show upstreams").at("rows").size(), 2U);
    }
    const auto events = shown("");
    std::size_t told = 0;
    for (const auto& item : events.at("events")) {
        const auto detail = item.at("detail").get<std::string>();
        told += detail.find("servers/odd") == std::string::npos ? 0 : 1;
        EXPECT_LE(detail.size(), 500U);
    }
    EXPECT_GT(told, 10U);
}

TEST_F(odd_entry, questions_that_are_no_utf8_are_refused) {
    start_with_upstreams();
    for (const std::string statement :
         {"\xff", "show \xff", "show zones where zone = \xff",
          "explain request GET /a/\xff", "drain zone \xff",
          "create service \xff", "set \xff"})
        EXPECT_TRUE(shown(statement).contains("error")) << statement;
    EXPECT_EQ(status(ask("/a/")), 200);
}

} // namespace skylark::test
