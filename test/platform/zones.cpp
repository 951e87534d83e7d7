// A whole entry of one zone with upstreams there and in another zone. Guards
// against decisions on zones that are right and reach neither the probes nor
// the metrics.
#include "test/platform/interfaces.hpp"

using namespace skylark;
using namespace skylark::test;

namespace {

constexpr std::size_t own = 0; // upstream of the entry's zone
constexpr std::size_t other = 1;

/*! @brief How the upstream of the own zone responds to probes. */
enum class own_zone : std::uint8_t { idle, full, silent };

class zones : public whole_entry {
protected:
    zones() : whole_entry{entry::deployment::platform} {
        m_settings.m_zones = {"a", "b"};
    }

    void begin(duration price) {
        m_settings.m_zone_price = price;
        start(2);
        m_store.put("servers/i-1",
                    R"({"address":")" + m_upstreams[other].where().text() +
                        R"(","born":1,"info":{"service":"stock","zone":"b",)"
                        R"("slots":6},"status":{"state":"ready","seq_no":2,)"
                        R"("warmup_left_ms":0}})");
    }

    void serve(std::size_t upstream, const scripted_request& got) override {
        ++m_runs[upstream];
        m_upstreams[upstream].say(got.m_connection,
                                  success(got) + "Content-Length: 0\r\n\r\n");
    }

    void probed(std::size_t upstream, const scripted_request& got) override {
        ++m_probes[upstream];
        if (upstream == other || m_own == own_zone::idle)
            whole_entry::probed(upstream, got);
        else if (m_own == own_zone::full)
            m_upstreams[upstream].say(
                got.m_connection,
                "HTTP/1.1 200 OK\r\nInstance-Id: i-0\r\n"
                "Server-Load: 6,12,6,100\r\nContent-Length: 0\r\n\r\n");
    }

    std::string page() {
        io::fetch_request what;
        what.m_to = m_settings.m_control;
        what.m_path = "/metrics";
        std::string out;
        bool done = false;
        m_fetcher.run(what, [&](const io::fetch_result& got) {
            if (const auto* answer = std::get_if<io::fetch_answer>(&got))
                out = answer->m_body;
            done = true;
        });
        turn_until([&] { return done; });
        return out;
    }

    double value(const std::string& metric) {
        const std::string text = page();
        const std::string line = "\n" + metric + "{service=\"stock\"} ";
        const auto found = text.find(line);
        return found == std::string::npos
                   ? 0.0
                   : std::stod(text.substr(found + line.size()));
    }

    own_zone m_own{own_zone::idle};
    std::array<int, 2> m_runs{};
    std::array<int, 2> m_probes{};
};

} // namespace

// Load: the own zone is full, and then has room again.
TEST_F(zones, requests_leave_a_full_zone_directly_and_return) {
    begin(milliseconds{10});
    m_own = own_zone::full;
    turn_until([this] {
        EXPECT_EQ(status(send("GET")), 200);
        return value("skylark_zone_share") > 0.3;
    });
    EXPECT_GT(value("skylark_sent_to_other_zones_total"), 0.0);
    m_own = own_zone::idle;
    turn_until([this] {
        send("GET");
        return value("skylark_zone_share") == 0.0;
    });
    const int before = m_runs[own];
    turn_until([this, before] {
        send("GET");
        return m_runs[own] > before;
    });
}

// Load: the own zone's upstreams are gone, and still listed.
TEST_F(zones, requests_leave_a_silent_zone_directly) {
    begin(milliseconds{10});
    m_own = own_zone::silent;
    turn_until([this] {
        send("GET");
        return value("skylark_zone_share") > 0.3;
    });
}

TEST_F(zones, without_a_price_there_is_no_share) {
    begin(duration{0});
    m_own = own_zone::full;
    for (int i = 0; i < 20; ++i)
        send("GET");
    EXPECT_EQ(page().find("skylark_zone_share{"), std::string::npos);
}
