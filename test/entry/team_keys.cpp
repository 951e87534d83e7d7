// Keys of teams at a whole entry of the native interface.
#include "io/sha256.hpp"
#include "test/entry/native_fixture.hpp"

using namespace skylark;

namespace {

std::string document_text() {
    return R"({"zones":[{"name":"a"}],"services":[{"name":"stock","slots":1,)"
           R"("cold_slots":1,"urgent_reserve":0}],"rules":[{"name":"open",)"
           R"("service":"stock","path_prefix":"/open","public":true},)"
           R"({"name":"book","service":"stock","path_prefix":"/"}],)"
           R"("teams":[{"name":"reds","key_digests":[")" +
           io::sha256_digest("key-red") + R"("]}]})";
}

class native_team_keys : public test::native_node {
protected:
    io::fetch_request request(const std::string& path, const std::string& key) {
        io::fetch_request out;
        out.m_to = m_settings.m_callers;
        out.m_path = path;
        out.m_headers = {{"Team", "blues"}};
        if (!key.empty())
            out.m_headers.push_back({"Team-Key", key});
        return out;
    }
};

} // namespace

TEST_F(native_team_keys, are_needed_except_on_public_rules) {
    start(document_text());
    for (const char* key : {"", "key-none"}) {
        const auto got = call(request("/x", key));
        const auto& answer = std::get<io::fetch_answer>(got);
        EXPECT_EQ(answer.m_status, 401);
        EXPECT_EQ(answer.header_value("Request-Verdict"), "not-run");
        EXPECT_EQ(answer.header_value("Retry-After"), "");
        EXPECT_EQ(answer.header_value("WWW-Authenticate"), "Team-Key");
    }
    EXPECT_EQ(m_requests, 0);
    std::optional<io::fetch_result> got;
    for (const auto& [path, key] :
         {std::pair{"/x", "key-red"}, std::pair{"/open", ""}}) {
        got.reset();
        const int before = m_requests;
        m_fetcher.run(request(path, key),
                      [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return m_requests > before; });
        m_upstream.answer(m_held, 200, {}, "done");
        turn_until([&] { return got.has_value(); });
        EXPECT_EQ(std::get<io::fetch_answer>(*got).m_status, 200);
    }
    EXPECT_NE(page("/metrics").find("skylark_unauthenticated_total 2"),
              std::string::npos);
}
