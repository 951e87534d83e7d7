// A whole entry on the users' platform whose configuration has teams.
#ifndef TEST_PLATFORM_TEAM_NODE_HPP
#define TEST_PLATFORM_TEAM_NODE_HPP

#include <string>
#include <vector>

#include "test/platform/node_fixture.hpp"

namespace skylark::test {

// The usual configuration with a public route, "/open/", and two teams.
inline std::string with_teams(const std::string& version,
                              const std::string& key_of_reds) {
    return R"({"version":")" + version +
           R"(","routes":{"columns":["name","host","prefix","kind",)"
           R"("timeout_ms","service","max_attempts","public"],"rows":[)"
           R"(["read","h.example","/a/","safe",1000,"stock",2,false],)"
           R"(["open","h.example","/open/","safe",1000,"stock",2,true],)"
           R"(["book","h.example","/b/","unsafe",1000,"stock",2,null]]},)"
           R"("services":{"columns":["name","health_path"],)"
           R"("rows":[["stock","/health"]]},"tenants":{"columns":["name",)"
           R"("api_keys","priority","rate_per_s","burst"],"rows":[)"
           R"(["reds",[")" +
           key_of_reds +
           R"("],0,9100,50],["blues",["key-blue"],1,null,null]]}})";
}

// The limit of the reds is high, as a bucket begins empty and keys are tested.
class team_node : public platform_node {
protected:
    void start_with_teams() {
        m_store.put("op/config", with_teams("00000008", "key-red"));
        m_store.put("servers/" + m_near.id(), m_near.record("a"));
        m_store.put("servers/" + m_far.id(), m_far.record("b"));
        start();
        turn_until([this] {
            return status(get(*m_settings.m_ready, "/readiness")) == 200;
        });
        turn_until([this] { return status(ask_as("key-red", "/a/x")) == 200; });
    }

    /*! @brief Sends a request until no probe keeps it from an upstream.
     *  @param key empty: the request carries none */
    io::fetch_result ask_as(const std::string& key, const std::string& path,
                            const std::vector<io::header>& more = {}) {
        io::fetch_request what;
        what.m_to = m_settings.m_callers;
        what.m_method = "GET";
        what.m_path = path;
        what.m_host = "h.example";
        what.m_headers = {{"Request-Id", "r1"}, {"Deadline-Ms", "800"}};
        if (!key.empty())
            what.m_headers.push_back({"Credential", key});
        what.m_headers.insert(what.m_headers.end(), more.begin(), more.end());
        const int before = m_near.m_requests;
        auto got = call(what);
        m_last = m_near.m_requests > before ? &m_near : &m_far;
        return got;
    }

    void turn_for(duration time) {
        const time_point end = io::event_loop::now() + time;
        turn_until([&] { return io::event_loop::now() >= end; });
    }

    /*! @brief Fields of the last request that reached an upstream. */
    const std::string& last_fields() const { return m_last->m_fields; }

    static std::size_t count(const std::string& in, const std::string& what) {
        std::size_t out = 0;
        for (auto at = in.find(what); at != std::string::npos;
             at = in.find(what, at + 1))
            ++out;
        return out;
    }

private:
    const fake_upstream* m_last{};
};

} // namespace skylark::test

#endif
