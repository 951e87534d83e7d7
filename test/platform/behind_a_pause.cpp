// Requests that are read behind a pause of the process.
#include <thread>

#include <skylark/load/path_time.hpp>

#include "test/io/raw_caller.hpp"
#include "test/platform/node_fixture.hpp"

using namespace skylark;

namespace {

class behind_a_pause : public test::platform_node {
protected:
    void start_with_long_timeouts() {
        start_with_upstreams();
        std::string config = test::configuration;
        for (const std::string before : {"\"safe\",", "\"unsafe\","})
            config.replace(config.find(before) + before.size(), 4, "9000");
        config.replace(config.find("00000007"), 8, "00000008");
        m_store.put("op/config", config);
        const time_point end = io::event_loop::now() + m_settings.m_apply_limit;
        while (io::event_loop::now() < end)
            m_loop.run_once(milliseconds{1});
    }

    void send_from_all() {
        for (const auto& caller : m_callers)
            caller->write("POST /b/x HTTP/1.1\r\nHost: h.example\r\n"
                          "Request-Id: r1\r\nDeadline-Ms: 5000\r\n"
                          "Content-Length: 4\r\n\r\nbook");
    }

    bool all_answered() {
        for (const auto& caller : m_callers) {
            caller->read();
            if (caller->bytes().empty())
                return false;
        }
        return true;
    }

    int answered_with(const std::string& status) const {
        int out = 0;
        for (const auto& caller : m_callers)
            out += caller->bytes().starts_with("HTTP/1.1 " + status) ? 1 : 0;
        return out;
    }

    int requests() const { return m_near.m_requests + m_far.m_requests; }

    std::vector<std::unique_ptr<test::raw_caller>> m_callers;
};

} // namespace

TEST_F(behind_a_pause, a_request_that_is_refused_has_not_run_and_never_will) {
    constexpr int count = 60;
    start_with_long_timeouts();
    for (int i = 0; i < count; ++i)
        m_callers.push_back(
            std::make_unique<test::raw_caller>(m_settings.m_callers));
    m_loop.after(duration{0}, [this] {
        send_from_all();
        std::this_thread::sleep_for(defaults::pause_limit + milliseconds{100});
        // Probes' answers come too late, those of another zone as well.
        m_loop.every(milliseconds{1}, [] {
            std::this_thread::sleep_for(path_time::longest_timeout +
                                        milliseconds{10});
        });
    });
    turn_until([this] { return all_answered(); });
    for (int i = 0; i < 50; ++i)
        m_loop.run_once(milliseconds{1});
    EXPECT_EQ(answered_with("200") + answered_with("503"), count);
    EXPECT_GT(answered_with("503"), 0);
    EXPECT_EQ(requests(), answered_with("200"));
}
