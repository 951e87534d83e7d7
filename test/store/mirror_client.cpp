// The client against the stand-in store: outages, lost history and lost
// answers.
#include "store/mirror_client.hpp"

#include <gtest/gtest.h>

#include "io/event_loop.hpp"
#include "standin/kv_store.hpp"

using namespace skylark;

namespace {

const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix",)"
    R"("kind","service"],"rows":[["r","h","/a/","safe","stock"]]},)"
    R"("services":{"columns":["name"],"rows":[["stock"]]}})";

std::string upstream_record(const std::string& state) {
    return R"({"address":"10.0.0.1:80","info":{"service":"stock","zone":"a",)"
           R"("slots":6},"status":{"state":")" +
           state + R"(","seq_no":1,"warmup_left_ms":0}})";
}

class mirror_client_test : public testing::Test {
protected:
    mirror_client_test()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_client{m_loop,
                   m_where,
                   {{"a"}, 60},
                   milliseconds{1500},
                   [this](const input_error&) { ++m_invalid_records; }} {}

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    store::read_result document(const store_position& index, duration wait) {
        std::optional<store::read_result> got;
        m_client.read(index, wait, [&](const auto& result) { got = result; });
        run_until([&] { return got.has_value(); });
        return got.value_or(store::store_failure{false, "no answer"});
    }

    store::list_result instances(const store_position& index, duration wait) {
        std::optional<store::list_result> got;
        m_client.instances(index, wait,
                           [&](const auto& result) { got = result; });
        run_until([&] { return got.has_value(); });
        return got.value_or(store::store_failure{false, "no answer"});
    }

    instance_list list(const store_position& index, duration wait) {
        const auto got = instances(index, wait);
        const auto* found = std::get_if<instance_list>(&got);
        EXPECT_NE(found, nullptr);
        return found ? *found : instance_list{};
    }

    io::event_loop m_loop;
    standin::kv_store m_store;
    address m_where;
    store::mirror_client m_client;
    int m_invalid_records{};
};

} // namespace

TEST_F(mirror_client_test, reads_document_and_instances) {
    m_store.put("op/config", configuration);
    m_store.put("servers/i-1", upstream_record("ready"));
    const auto read = document(0, seconds{1});
    const auto& value = std::get<store::stored_value>(read);
    EXPECT_TRUE(value.m_position.known());
    EXPECT_TRUE(parse_document(value.m_text));
    ASSERT_EQ(list(0, seconds{1}).m_instances.size(), 1U);
}

TEST_F(mirror_client_test, a_blocking_read_returns_the_change) {
    m_store.put("op/config", configuration);
    const auto first = std::get<store::stored_value>(document(0, seconds{1}));
    m_loop.after(milliseconds{20},
                 [this] { m_store.put("op/evacuate/a", "{}"); });
    const auto next =
        std::get<store::stored_value>(document(first.m_position, seconds{5}));
    EXPECT_GT(next.m_position, first.m_position);
    EXPECT_EQ(parse_document(next.m_text).value().find_zone("a")->m_state,
              zone_state::drained);
    m_loop.after(milliseconds{20}, [this] { m_store.erase("op/evacuate/a"); });
    const auto last =
        std::get<store::stored_value>(document(next.m_position, seconds{5}));
    EXPECT_EQ(parse_document(last.m_text).value().find_zone("a")->m_state,
              zone_state::active);
}

TEST_F(mirror_client_test,
       a_blocking_read_without_changes_returns_the_current_value) {
    m_store.put("op/config", configuration);
    const auto first = std::get<store::stored_value>(document(0, seconds{1}));
    const auto again = std::get<store::stored_value>(
        document(first.m_position, milliseconds{150}));
    EXPECT_EQ(again.m_position, first.m_position);
}

TEST_F(mirror_client_test, one_call_serves_both_reads) {
    m_store.put("op/config", configuration);
    m_store.put("servers/i-1", upstream_record("ready"));
    const auto first = std::get<store::stored_value>(document(0, seconds{1}));
    const auto known = list(0, seconds{1});
    const auto before = m_store.calls();
    int answers = 0;
    m_client.read(first.m_position, milliseconds{200},
                  [&](const auto&) { ++answers; });
    m_client.instances(known.m_index, milliseconds{200},
                       [&](const auto&) { ++answers; });
    run_until([&] { return answers == 2; });
    EXPECT_EQ(m_store.calls() - before, 1U);
}

TEST_F(mirror_client_test, lists_again_when_history_is_lost) {
    m_store.put("op/config", configuration);
    m_store.put("servers/i-1", upstream_record("ready"));
    const auto known = list(0, seconds{1});
    m_store.put("servers/i-1", upstream_record("draining"));
    m_store.drop_history();
    const auto next = list(known.m_index, seconds{5});
    ASSERT_EQ(next.m_instances.size(), 1U);
    EXPECT_TRUE(next.m_instances[0].m_leaving);
}

TEST_F(mirror_client_test, reads_many_pages) {
    standin::kv_faults small;
    small.m_page_size = 3;
    m_store.set_faults(small);
    constexpr int count = 20;
    for (int i = 0; i < count; ++i)
        m_store.put("servers/i-" + std::to_string(i), upstream_record("ready"));
    EXPECT_EQ(list(0, seconds{1}).m_instances.size(), std::size_t{count});
}

TEST_F(mirror_client_test, failures_are_reported_and_the_next_read_recovers) {
    m_store.put("op/config", configuration);
    const auto first = std::get<store::stored_value>(document(0, seconds{1}));
    for (const bool limiting : {true, false}) {
        standin::kv_faults faults;
        faults.m_limiting = limiting;
        faults.m_refusing = !limiting;
        m_store.set_faults(faults);
        EXPECT_TRUE(std::holds_alternative<store::store_failure>(
            document(first.m_position, milliseconds{100})));
    }
    m_store.set_faults({});
    m_store.put("op/evacuate/a", "{}");
    const auto next =
        std::get<store::stored_value>(document(first.m_position, seconds{5}));
    EXPECT_GT(next.m_position, first.m_position);
}

TEST_F(mirror_client_test, a_missing_answer_is_a_failure) {
    m_store.put("op/config", configuration);
    const auto first = std::get<store::stored_value>(document(0, seconds{1}));
    standin::kv_faults faults;
    faults.m_silent = true;
    m_store.set_faults(faults);
    EXPECT_TRUE(std::holds_alternative<store::store_failure>(
        document(first.m_position, milliseconds{100})));
}

// The watch is cut while the store works, so the removal is no lapse.
TEST_F(mirror_client_test, a_removal_after_a_cut_watch_is_in_force_at_once) {
    m_store.put("servers/i-1", upstream_record("ready"));
    m_store.put("servers/i-2", upstream_record("ready"));
    const auto known = list(0, seconds{1});
    m_loop.after(milliseconds{20}, [this] { m_store.break_watches(); });
    EXPECT_TRUE(std::holds_alternative<store::store_failure>(
        instances(known.m_index, seconds{1})));
    m_store.erase("servers/i-1");
    const auto next = list(known.m_index, seconds{1});
    ASSERT_EQ(next.m_instances.size(), 1U);
    EXPECT_EQ(next.m_instances[0].m_id, "i-2");
}

TEST_F(mirror_client_test, records_that_expired_in_an_outage_may_return) {
    m_store.put("servers/i-1", upstream_record("ready"));
    m_store.put("servers/i-2", upstream_record("ready"));
    const auto known = list(0, seconds{1});
    standin::kv_faults faults;
    faults.m_refusing = true;
    m_store.set_faults(faults);
    const time_point began = io::event_loop::now();
    while (io::event_loop::now() - began < lapse_timing{}.m_renewal_interval)
        EXPECT_TRUE(std::holds_alternative<store::store_failure>(
            instances(known.m_index, milliseconds{100})));
    m_store.erase("servers/i-1");
    m_store.erase("servers/i-2");
    m_store.set_faults({});
    m_loop.after(milliseconds{300}, [this] {
        m_store.put("servers/i-2", upstream_record("ready"));
    });
    instance_list seen = list(known.m_index, milliseconds{100});
    EXPECT_EQ(seen.m_instances.size(), 2U);
    while (seen.m_instances.size() == 2U)
        seen = list(seen.m_index, seconds{1});
    ASSERT_EQ(seen.m_instances.size(), 1U);
    EXPECT_EQ(seen.m_instances[0].m_id, "i-2");
}

TEST_F(mirror_client_test, invalid_records_are_reported_once_and_skipped) {
    m_store.put("servers/i-1", upstream_record("ready"));
    m_store.put("servers/x", "no record");
    auto seen = list(0, seconds{1});
    EXPECT_EQ(seen.m_instances.size(), 1U);
    m_store.put("servers/i-2", upstream_record("ready"));
    seen = list(seen.m_index, seconds{5});
    EXPECT_EQ(seen.m_instances.size(), 2U);
    EXPECT_EQ(m_invalid_records, 1);
}

TEST_F(mirror_client_test, an_invalid_configuration_is_passed_on_and_rejected) {
    m_store.put("op/config", "no configuration");
    const auto read = std::get<store::stored_value>(document(0, seconds{1}));
    EXPECT_TRUE(read.m_position.known());
    EXPECT_FALSE(parse_document(read.m_text));
}

TEST_F(mirror_client_test, writes_nothing) {
    std::optional<store::write_result> got;
    m_client.write(1, "{}", [&](const auto& result) { got = result; });
    run_until([&] { return got.has_value(); });
    EXPECT_FALSE(std::get<store::store_failure>(*got).m_may_have_run);
}

// Entries that do not watch the store rely on the age of the watcher's
// confirmation.
TEST_F(mirror_client_test, a_blocking_read_without_changes_confirms_its_end) {
    m_store.put("op/config", configuration);
    const auto first = document(0, seconds{1});
    const auto position = std::get<store::stored_value>(first).m_position;
    const time_point asked = io::event_loop::now();
    EXPECT_LE(m_client.confirmed_at(asked), asked);
    document(position, milliseconds{400});
    EXPECT_GE(m_client.confirmed_at(asked), asked + milliseconds{300});
    EXPECT_LE(m_client.confirmed_at(asked), io::event_loop::now());
}
