// An upstream of the native interface that asks for a rest, and the requests
// that wait for it in the admission queue.
#include <array>
#include <optional>

#include "test/entry/native_fixture.hpp"

using namespace skylark;

namespace {

// One bulk request at a time on each upstream, so that others wait.
constexpr const char* document_text =
    R"({"change_id":"first","zones":[{"name":"a","region":"r",)"
    R"("state":"active"}],"services":[{"name":"stock","slots":1,)"
    R"("cold_slots":1,"urgent_reserve":0,"policy":"preferred_least"}],)"
    R"("rules":[{"name":"book","service":"stock","path_prefix":"/",)"
    R"("class":"bulk","idempotent":false,"deadline_ms":30000}],)"
    R"("limits":{"probes_per_upstream":50,"probes_fleet":100}})";

class resting_upstream : public test::native_node {
protected:
    void start() { native_node::start(document_text); }

    void book(std::optional<io::fetch_result>& into,
              const std::string& wait_ms = "30000") {
        native_node::book(into, wait_ms);
    }

    void refuse_held(const std::string& rest) {
        const std::array headers{io::header{"Upstream-Refused", "shed"},
                                 io::header{"Retry-After", rest}};
        m_upstream.answer(m_held, 503, headers, "");
    }
};

} // namespace

TEST_F(resting_upstream, waiting_callers_learn_at_once_when_to_return) {
    start();
    std::optional<io::fetch_result> running;
    std::optional<io::fetch_result> waiting;
    book(running);
    turn_until([this] { return m_requests == 1; });
    book(waiting);
    turn_until([this] { return queued() == 1; });
    refuse_held("60");
    turn_until([&] { return running && waiting; });
    EXPECT_EQ(m_requests, 1);
    for (const auto& got : {running, waiting}) {
        const auto& answer = std::get<io::fetch_answer>(*got);
        EXPECT_EQ(answer.m_status, 503);
        EXPECT_EQ(answer.header_value("Request-Verdict"), "not-run");
        EXPECT_EQ(answer.header_value("Retry-After"), "60");
    }
}

TEST_F(resting_upstream, is_not_asked_for_its_load) {
    start();
    std::optional<io::fetch_result> running;
    book(running);
    turn_until([this] { return m_requests == 1; });
    // No further query is on its way right after one.
    const int served = m_load_queries;
    turn_until([&] { return m_load_queries > served; });
    const int before = m_load_queries;
    const time_point refused = io::event_loop::now();
    refuse_held("1");
    turn_until([&] { return m_load_queries > before; });
    EXPECT_GE(io::event_loop::now() - refused, seconds{1});
}

// A leaving entry has no shares, which bulk requests need.
TEST_F(resting_upstream, waiting_callers_are_refused_when_the_entry_leaves) {
    start();
    std::optional<io::fetch_result> running;
    std::optional<io::fetch_result> waiting;
    std::optional<io::fetch_result> late;
    const std::string wait_ms = "15000";
    book(running, wait_ms);
    turn_until([this] { return m_requests == 1; });
    book(waiting, wait_ms);
    turn_until([this] { return queued() == 1; });
    const time_point began = io::event_loop::now();
    m_node->drain();
    book(late, wait_ms);
    turn_until([&] { return waiting && late; });
    EXPECT_LT(io::event_loop::now() - began, seconds{10});
    EXPECT_EQ(std::get<io::fetch_answer>(*waiting).m_status, 503);
    EXPECT_EQ(std::get<io::fetch_answer>(*late).m_status, 503);
    EXPECT_EQ(m_requests, 1);
    EXPECT_FALSE(running);
}
