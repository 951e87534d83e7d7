// A request of the native interface that waits in the admission queue when the
// operators remove its service.
#include <optional>

#include "test/entry/native_fixture.hpp"

using namespace skylark;

namespace {

constexpr auto deadline = seconds{20};

// One bulk request at a time on the upstream, so that others wait.
std::string document_for(const std::string& service) {
    return R"({"change_id":"of )" + service +
           R"(","zones":[{"name":"a","region":"r","state":"active"}],)"
           R"("services":[{"name":")" +
           service +
           R"(","slots":1,"cold_slots":1,"urgent_reserve":0}],"rules":[)"
           R"({"name":"book","service":")" +
           service +
           R"(","path_prefix":"/","class":"bulk","idempotent":false,)"
           R"("deadline_ms":20000}],)"
           R"("limits":{"probes_per_upstream":50,"probes_fleet":100}})";
}

using removed_service = test::native_node;

} // namespace

// It waited until its deadline although the upstream became free.
TEST_F(removed_service, a_queued_request_is_served_by_its_upstreams) {
    start(document_for("stock"));
    std::optional<io::fetch_result> first;
    book(first, "20000");
    turn_until([this] { return m_requests == 1; });
    std::optional<io::fetch_result> second;
    book(second, "20000");
    turn_until([this] { return queued() == 1; });
    m_platform.preload("skylark/config", document_for("other"));
    turn_until([this] {
        return page("/peer/config").find("of other") != std::string::npos;
    });
    const time_point freed = io::event_loop::now();
    m_upstream.answer(m_held, 200, {}, "whole");
    turn_until([&] { return first.has_value(); });
    turn_until([&] { return m_requests == 2 || second.has_value(); });
    EXPECT_EQ(m_requests, 2);
    EXPECT_LT(io::event_loop::now() - freed, deadline / 4);
    m_upstream.answer(m_held, 200, {}, "whole");
    turn_until([&] { return second.has_value(); });
    const auto* answer = std::get_if<io::fetch_answer>(&*second);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->m_status, 200);
}
