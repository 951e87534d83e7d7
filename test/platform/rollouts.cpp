// Roll-outs through a whole entry: orders in the store, requests at upstreams
// of both versions, the status in the store.
#include <algorithm>
#include <cmath>

#include "test/platform/interfaces.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

constexpr std::size_t first_target = 2; // upstreams 2 and 3 are of version v2
constexpr auto longest_stage = seconds{20};

class rollouts_at_entry : public whole_entry {
protected:
    rollouts_at_entry() : whole_entry{entry::deployment::platform} {}

    void serve(std::size_t upstream, const scripted_request& got) override {
        ++m_runs[upstream];
        std::string text = success(got);
        const bool target = upstream >= first_target;
        if (target && m_failing)
            text.replace(text.find("200 OK"), 6, "500 No");
        m_upstreams[upstream].say_later(target ? m_target_delay : m_delay,
                                        got.m_connection,
                                        text + "Content-Length: 0\r\n\r\n");
    }

    // The version is that of new upstreams, so the order comes before them.
    void order(int duration_s, const std::string& service = "stock") {
        m_store.put("op/rollout/" + service,
                    R"({"service":")" + service +
                        R"(","target_version":"v2","duration_s":)" +
                        std::to_string(duration_s) + "}");
        for (std::size_t i = first_target; i < m_upstreams.size(); ++i)
            m_store.put("servers/i-" + std::to_string(i),
                        R"({"address":")" + m_upstreams[i].where().text() +
                            R"(","born":1,"info":{"service":"stock",)"
                            R"("version":"v2","zone":"a","slots":6},"status":)"
                            R"({"state":"ready","seq_no":2,)"
                            R"("warmup_left_ms":0}})");
    }

    [[nodiscard]] bool recorded(const std::string& state) const {
        return m_store.holds("status/rollout/stock",
                             R"({"state":")" + state +
                                 R"(","target_version":"v2"})");
    }

    // Sends requests until something is reached, at most for so long.
    void send_while(const std::function<bool()>& wanted,
                    duration longest = longest_stage) {
        const time_point end = io::event_loop::now() + longest;
        while (wanted() && io::event_loop::now() < end) {
            send("GET");
            ++m_since_order;
        }
        ASSERT_FALSE(wanted());
    }

    // What the entry says of its finding.
    bool found_bad() {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_method = "POST";
        what.m_path = "/query";
        what.m_body = "show rollouts where verdict = bad";
        std::optional<io::fetch_result> got;
        m_fetcher.run(what, [&](const io::fetch_result& is) { got = is; });
        turn_until([&] { return got.has_value(); });
        const auto* answer = std::get_if<io::fetch_answer>(&*got);
        return answer && answer->m_body.find(R"("stock")") != std::string::npos;
    }

    [[nodiscard]] int target_runs() const {
        return m_runs[first_target] + m_runs[first_target + 1];
    }

    void settle(duration time) {
        const time_point until = io::event_loop::now() + time;
        turn_until([until] { return io::event_loop::now() >= until; });
    }

    std::array<int, 4> m_runs{}; // by upstream
    duration m_delay{};
    duration m_target_delay{};
    bool m_failing{};
    int m_since_order{};
};

} // namespace

TEST_F(rollouts_at_entry, a_good_version_is_completed) {
    start(4);
    order(6);
    const time_point deadline = io::event_loop::now() + seconds{6};
    send_while([this] { return !recorded("running"); });
    m_runs = {};
    m_since_order = 0;
    send_while([this] { return !recorded("completed"); },
               deadline - io::event_loop::now());
    EXPECT_GT(target_runs(), 0);
    settle(milliseconds{600}); // the watch delivers the status
    m_runs = {};
    for (int i = 0; i < 30; ++i)
        send("GET");
    EXPECT_EQ(m_runs[0] + m_runs[1], 0);
    EXPECT_GT(target_runs(), 0);
}

TEST_F(rollouts_at_entry, a_failing_version_is_rolled_back_within_its_share) {
    start(4);
    order(60);
    send_while([this] { return !recorded("running"); });
    m_runs = {};
    m_since_order = 0;
    m_failing = true;
    send_while([this] { return !recorded("rolled_back"); });
    EXPECT_LE(target_runs(), 50 + std::lround(0.1 * m_since_order));
    EXPECT_GT(target_runs(), 0);
    settle(milliseconds{600});
    m_runs = {};
    for (int i = 0; i < 100; ++i)
        send("GET");
    EXPECT_EQ(target_runs(), 0);
    EXPECT_GT(m_runs[0] + m_runs[1], 0);
}

// Every tenth of a second counts like a failure where the earlier version takes
// two milliseconds.
TEST_F(rollouts_at_entry, a_slow_version_is_rolled_back) {
    m_delay = milliseconds{2};
    start(4);
    order(60);
    send_while([this] { return !recorded("running"); });
    m_runs = {};
    m_since_order = 0;
    m_target_delay = milliseconds{100};
    send_while([this] { return !recorded("rolled_back"); });
    EXPECT_LE(target_runs(), 50 + std::lround(0.1 * m_since_order));
}

// The finding takes effect by itself; it is recorded when the store is back.
TEST_F(rollouts_at_entry, a_failing_version_is_stopped_without_the_store) {
    start(4);
    order(60);
    send_while([this] { return !recorded("running"); });
    settle(milliseconds{600});
    standin::kv_faults down;
    down.m_refusing = true;
    m_store.set_faults(down);
    m_failing = true;
    send_while([this] {
        constexpr int requests_per_query = 20;
        return m_since_order % requests_per_query != 0 || !found_bad();
    });
    m_runs = {};
    for (int i = 0; i < 200; ++i)
        send("GET");
    EXPECT_EQ(target_runs(), 0);
    EXPECT_GT(m_runs[0] + m_runs[1], 0);
    EXPECT_TRUE(recorded("running"));
    m_store.set_faults({});
    turn_until([this] { return recorded("rolled_back"); });
}

// The store does the first write and its response is lost, so the entry repeats
// it under a condition that no longer holds.
TEST_F(rollouts_at_entry, a_lost_response_to_a_record_does_no_harm) {
    start(4);
    standin::kv_faults faults;
    faults.m_delay = milliseconds{400};
    m_store.set_faults(faults);
    // A waiting watch delivers the order without the delay, and the write is
    // the next call.
    const std::size_t before = m_store.calls();
    order(8);
    const time_point deadline = io::event_loop::now() + seconds{8};
    turn_until([&] { return m_store.calls() > before; });
    faults.m_losing = true;
    m_store.set_faults(faults);
    turn_until([this] { return recorded("running"); });
    settle(milliseconds{100});
    m_store.set_faults({});
    send_while([this] { return !recorded("completed"); },
               deadline - io::event_loop::now());
}

// Nothing is recorded or restricted for a service without an order.
TEST_F(rollouts_at_entry, another_service_is_not_restricted) {
    start(4);
    order(60, "unknown");
    settle(milliseconds{600});
    m_runs = {};
    // An upstream without an open connection is probed by one request in 16, so
    // a fixed number of requests may miss one.
    const auto all_ran = [this] {
        return std::all_of(m_runs.begin(), m_runs.end(),
                           [](int runs) { return runs > 0; });
    };
    for (int i = 0; i < 600 && !all_ran(); ++i)
        send("GET");
    for (const int runs : m_runs)
        EXPECT_GT(runs, 0);
    EXPECT_TRUE(m_store.keys("status/").empty());
    EXPECT_TRUE(m_store.keys("skylark/rollouts/").empty());
}
