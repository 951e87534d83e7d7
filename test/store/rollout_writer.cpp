// Conditional writes of a roll-out's status, and their way back through the
// mirror, against the stand-in store.
#include "store/rollout_writer.hpp"

#include <gtest/gtest.h>

#include "platform/rollout_records.hpp"
#include "standin/kv_store.hpp"
#include "store/mirror_client.hpp"

using namespace skylark;

namespace {

const std::string configuration =
    R"({"version":"00000007","routes":{"columns":["name","host","prefix",)"
    R"("kind","service"],"rows":[["r","h","/a/","safe","stock"],)"
    R"(["s","h","/b/","safe","book"]]},)"
    R"("services":{"columns":["name"],"rows":[["stock"],["book"]]}})";

const std::string order_text =
    R"({"service":"stock","target_version":"v2","duration_s":30})";

class rollout_writer_test : public testing::Test {
protected:
    rollout_writer_test()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_writer{m_loop, m_where}, m_client{m_loop,
                                              m_where,
                                              {{"a"}, 60},
                                              milliseconds{1500},
                                              [this](const input_error&) {
                                                  ++m_invalid;
                                              }} {
        m_store.put("op/config", configuration);
    }

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    store::write_result write(rollout_order order, rollout_stage stage) {
        order.m_stage = stage;
        std::optional<store::write_result> got;
        m_writer.write(order, [&](const auto& result) { got = result; });
        run_until([&] { return got.has_value(); });
        return got.value_or(store::store_failure{false, "no answer"});
    }

    // Waits for a document later than the last one.
    document next() {
        std::optional<store::read_result> got;
        m_client.read(m_position, seconds{5},
                      [&](const auto& result) { got = result; });
        run_until([&] { return got.has_value(); });
        const auto& value = std::get<store::stored_value>(*got);
        EXPECT_GT(value.m_position, m_position);
        m_position = value.m_position;
        const auto read = parse_document(value.m_text);
        EXPECT_TRUE(read);
        return read ? read.value() : document{};
    }

    rollout_order next_order() {
        const document got = next();
        EXPECT_EQ(got.m_rollouts.size(), 1U);
        return got.m_rollouts.empty() ? rollout_order{} : got.m_rollouts[0];
    }

    io::event_loop m_loop;
    standin::kv_store m_store;
    address m_where;
    store::rollout_writer m_writer;
    store::mirror_client m_client;
    store_position m_position;
    int m_invalid{};
};

} // namespace

TEST_F(rollout_writer_test, a_written_stage_comes_back_with_the_document) {
    m_store.put("op/rollout/stock", order_text);
    const rollout_order order = next_order();
    EXPECT_EQ(order.m_stage, rollout_stage::ordered);
    EXPECT_EQ(order.m_status_revision, 0U);
    EXPECT_TRUE(std::holds_alternative<store::written>(
        write(order, rollout_stage::canary)));
    EXPECT_TRUE(m_store.holds("status/rollout/stock",
                              R"({"state":"running","target_version":"v2"})"));
    const rollout_order canary = next_order();
    EXPECT_EQ(canary.m_stage, rollout_stage::canary);
    EXPECT_GT(canary.m_status_revision, 0U);
    EXPECT_TRUE(std::holds_alternative<store::written>(
        write(canary, rollout_stage::rolled_back)));
    EXPECT_EQ(next_order().m_stage, rollout_stage::rolled_back);
}

// Two entries that consider themselves first must not overwrite each other.
TEST_F(rollout_writer_test, a_write_on_an_old_status_is_a_conflict) {
    m_store.put("op/rollout/stock", order_text);
    const rollout_order order = next_order();
    write(order, rollout_stage::rolled_back);
    EXPECT_TRUE(std::holds_alternative<store::write_conflict>(
        write(order, rollout_stage::completed)));
    EXPECT_EQ(next_order().m_stage, rollout_stage::rolled_back);
}

// The store does the write and its response is lost: the repeat must not do it
// again.
TEST_F(rollout_writer_test, a_repeat_after_a_lost_response_is_a_conflict) {
    m_store.put("op/rollout/stock", order_text);
    const rollout_order order = next_order();
    standin::kv_faults losing;
    losing.m_losing = true;
    m_store.set_faults(losing);
    const auto lost = write(order, rollout_stage::canary);
    ASSERT_TRUE(std::holds_alternative<store::store_failure>(lost));
    EXPECT_TRUE(std::get<store::store_failure>(lost).m_may_have_run);
    m_store.set_faults({});
    EXPECT_TRUE(std::holds_alternative<store::write_conflict>(
        write(order, rollout_stage::canary)));
}

TEST_F(rollout_writer_test, a_store_that_refuses_has_not_written) {
    m_store.put("op/rollout/stock", order_text);
    const rollout_order order = next_order();
    standin::kv_faults limiting;
    limiting.m_limiting = true;
    m_store.set_faults(limiting);
    const auto refused = write(order, rollout_stage::canary);
    EXPECT_FALSE(std::get<store::store_failure>(refused).m_may_have_run);
    EXPECT_FALSE(m_store.has("status/rollout/stock"));
}

// An order that cannot be read must not keep the configuration out.
TEST_F(rollout_writer_test, an_unreadable_order_is_told_once_and_skipped) {
    m_store.put("op/rollout/stock", "no order");
    m_store.put("op/rollout/book", R"({"target_version":"v7","duration_s":5})");
    const document got = next();
    EXPECT_EQ(got.m_rules.size(), 2U);
    ASSERT_EQ(got.m_rollouts.size(), 1U);
    EXPECT_EQ(got.m_rollouts[0].m_service, "book");
    m_store.put("op/evacuate/a", "");
    next();
    EXPECT_EQ(m_invalid, 1);
}

// The upstreams of a version that was rolled back run on for some seconds.
TEST_F(rollout_writer_test, a_rollback_outlives_its_order) {
    m_store.put("op/rollout/stock", order_text);
    write(next_order(), rollout_stage::rolled_back);
    next();
    m_store.erase("op/rollout/stock");
    EXPECT_EQ(next_order().m_stage, rollout_stage::rolled_back);
}

// Places in the list of entries change often; a new position of the document
// makes all entries fetch it.
TEST_F(rollout_writer_test, other_keys_of_entries_leave_the_document_alone) {
    next();
    m_store.put("skylark/entries/e1", "127.0.0.1:1");
    std::optional<store::read_result> got;
    m_client.read(m_position, milliseconds{600},
                  [&](const auto& result) { got = result; });
    run_until([&] { return got.has_value(); });
    EXPECT_EQ(std::get<store::stored_value>(*got).m_position, m_position);
}
