// No output of an entry contains a key or a digest: log, events, metrics,
// queries and refusals.
#include "io/sha256.hpp"
#include "test/entry/captured_output.hpp"
#include "test/platform/team_node.hpp"

using namespace skylark;
using skylark::test::with_teams;

namespace {

class hidden_keys : public test::team_node {
protected:
    hidden_keys() { m_settings.m_log_level = "debug"; }

    std::string page(const std::string& path, const std::string& query = {}) {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_path = path;
        what.m_method = query.empty() ? "GET" : "POST";
        what.m_body = query;
        return body(call(what));
    }

    static std::string body(const io::fetch_result& of) {
        const auto* answer = std::get_if<io::fetch_answer>(&of);
        return answer ? answer->m_body : "";
    }

    // All that the entry shows besides its log.
    std::string shown() {
        std::string out = page("/events") + page("/metrics");
        for (const char* subject : {"teams", "rules", "config", "events"})
            out += page("/query", std::string{"show "} + subject);
        return out;
    }

    static void expect_no_key(const std::string& text) {
        for (const char* key : {"key-red", "key-blue", "key-none", "key-new"}) {
            EXPECT_EQ(count(text, key), 0U) << key << " in " << text;
            EXPECT_EQ(count(text, io::sha256_digest(key)), 0U) << key;
        }
    }
};

} // namespace

TEST_F(hidden_keys, appear_in_no_output_of_requests) {
    const test::captured_output output;
    start_with_teams();
    std::string all = output.read();
    for (const char* key : {"key-red", "key-blue", "key-none", ""})
        for (const char* path : {"/a/x", "/open/x", "/nowhere/x"})
            all += body(ask_as(key, path));
    all += shown() + output.read();
    EXPECT_GE(count(all, "no team has the key"), 2U);
    EXPECT_GE(count(all, "skylark_unauthenticated_total"), 1U);
    EXPECT_GE(count(all, "\"reds\""), 1U) << all;
    expect_no_key(all);
}

// The configuration's text is wrong in different places, around the keys.
TEST_F(hidden_keys, appear_in_no_output_of_bad_configurations) {
    const test::captured_output output;
    start_with_teams();
    std::string all = output.read();
    const std::string good = with_teams("00000009", "key-new");
    const auto with = [&](const std::string& from, const std::string& to) {
        std::string out = good;
        return out.replace(out.find(from), from.size(), to);
    };
    const std::string only_teams = "{" + good.substr(good.find("\"tenants\""));
    for (const std::string& bad :
         {with("\"blues\",", ""), with("9100,", "[\"key-red\"],"),
          with("[\"key-blue\"]", "\"key-blue\""), with("key-blue", "key-new"),
          only_teams, std::string{R"({"tenants":"key-new"})"}, good + "x",
          with("\"version\"", "\"versions\""), with("key-new", "key-new\\n")}) {
        m_store.put("op/config", bad);
        turn_for(milliseconds{400});
        all += output.read();
    }
    all += shown() + output.read();
    EXPECT_GE(count(all, "refused"), 1U);
    EXPECT_EQ(status(ask_as("key-red", "/a/x")), 200);
    expect_no_key(all);
}
