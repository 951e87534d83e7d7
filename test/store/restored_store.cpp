// Clients of a store that was restored from a copy: revisions and lease ids are
// given out again.
#include <gtest/gtest.h>

#include "standin/kv_store.hpp"
#include "store/lease_holder.hpp"
#include "store/mirror_client.hpp"

using namespace skylark;

namespace {

std::string configuration(const std::string& version) {
    return R"({"version":")" + version +
           R"(","routes":{"columns":["name","host","prefix","kind",)"
           R"("service"],"rows":[["r","h","/a/","safe","stock"]]},)"
           R"("services":{"columns":["name"],"rows":[["stock"]]}})";
}

std::string record(const std::string& state, int sequence) {
    return R"({"address":"10.0.0.1:80","born":5,"info":{"service":"stock",)"
           R"("zone":"a","slots":6},"status":{"state":")" +
           state + R"(","seq_no":)" + std::to_string(sequence) +
           R"(,"warmup_left_ms":0}})";
}

class restored_store : public testing::Test {
protected:
    restored_store()
        : m_store{m_loop}, m_where{m_store.listen({0x7f000001U, 0}).value()},
          m_client{m_loop,
                   m_where,
                   {{"a"}, 60},
                   milliseconds{1500},
                   [](const input_error&) {}} {}

    void run_until(const std::function<bool()>& reached) {
        for (int i = 0; i < 20000 && !reached(); ++i)
            m_loop.run_once(milliseconds{1});
        ASSERT_TRUE(reached());
    }

    store::stored_value document(const store_position& index) {
        std::optional<store::stored_value> got;
        const auto take = [&](const store::read_result& result) {
            if (const auto* value = std::get_if<store::stored_value>(&result))
                got = *value;
        };
        for (int i = 0; i < 3 && !got; ++i) { // a cut watch fails the read
            bool done = false;
            m_client.read(index, seconds{2}, [&](const auto& result) {
                take(result);
                done = true;
            });
            run_until([&] { return done; });
        }
        return got.value_or(store::stored_value{});
    }

    instance_list list(const store_position& index) {
        std::optional<instance_list> got;
        for (int i = 0; i < 3 && !got; ++i) {
            bool done = false;
            m_client.instances(index, seconds{2}, [&](const auto& result) {
                if (const auto* value = std::get_if<instance_list>(&result))
                    got = *value;
                done = true;
            });
            run_until([&] { return done; });
        }
        return got.value_or(instance_list{});
    }

    static std::string version_of(const store::stored_value& value) {
        return parse_document(value.m_text).value().m_change_id;
    }

    io::event_loop m_loop;
    standin::kv_store m_store;
    address m_where;
    store::mirror_client m_client;
};

} // namespace

TEST_F(restored_store, what_is_written_at_a_reissued_revision_is_read) {
    m_store.put("op/config", configuration("00000007"));
    m_store.save_copy();
    m_store.put("op/config", configuration("00000009"));
    const auto before = document(0);
    ASSERT_EQ(version_of(before), "00000009");
    ASSERT_TRUE(m_store.restore_copy());
    m_store.put("op/config", configuration("0000000c"));
    const auto after = document(before.m_position);
    EXPECT_EQ(version_of(after), "0000000c");
    EXPECT_EQ(after.m_position.m_revision, before.m_position.m_revision);
    EXPECT_GT(after.m_position, before.m_position);
}

TEST_F(restored_store, the_copy_is_read_although_its_revisions_are_lower) {
    m_store.put("op/config", configuration("00000007"));
    m_store.save_copy();
    m_store.put("op/config", configuration("00000009"));
    const auto before = document(0);
    ASSERT_TRUE(m_store.restore_copy());
    const auto after = document(before.m_position);
    EXPECT_EQ(version_of(after), "00000007");
    EXPECT_LT(after.m_position.m_revision, before.m_position.m_revision);
}

// The new revisions have passed the old one, so the watch succeeds.
TEST_F(restored_store, a_watch_that_succeeds_in_a_later_era_lists_again) {
    m_store.put("servers/i-1", record("ready", 1));
    m_store.save_copy();
    m_store.put("servers/i-2", record("ready", 1));
    const auto before = list(0);
    ASSERT_EQ(before.m_instances.size(), 2U);
    ASSERT_TRUE(m_store.restore_copy());
    for (int i = 2; i < 6; ++i)
        m_store.put("servers/i-1", record("ready", i));
    const auto after = list(before.m_index);
    ASSERT_EQ(after.m_instances.size(), 1U);
    EXPECT_EQ(after.m_instances[0].m_sequence, 5U);
    EXPECT_GT(after.m_index, before.m_index);
}

TEST_F(restored_store, a_record_at_a_reissued_revision_is_decoded_again) {
    m_store.save_copy();
    m_store.put("servers/i-1", record("ready", 1));
    const auto before = list(0);
    ASSERT_TRUE(m_store.restore_copy());
    m_store.put("servers/i-1", record("draining", 2));
    const auto after = list(before.m_index);
    ASSERT_EQ(after.m_instances.size(), 1U);
    EXPECT_TRUE(after.m_instances[0].m_leaving);
}

TEST_F(restored_store, a_copy_without_upstreams_is_a_list) {
    m_store.save_copy();
    m_store.put("servers/i-1", record("ready", 1));
    const auto before = list(0);
    ASSERT_TRUE(m_store.restore_copy());
    const auto after = list(before.m_index);
    EXPECT_TRUE(after.m_instances.empty());
    EXPECT_TRUE(after.m_index.known());
    EXPECT_GT(after.m_index, before.m_index);
}

TEST_F(restored_store, a_lease_that_another_holder_was_given_is_replaced) {
    m_store.save_copy();
    const auto hold = [&](const std::string& key) {
        auto out = std::make_unique<store::lease_holder>(
            m_loop, m_where, key, "127.0.0.1:1", milliseconds{1500},
            [](store::lease_event) {});
        out->start();
        return out;
    };
    const auto first = hold("skylark/entries/e1");
    run_until([&] { return first->held(); });
    ASSERT_TRUE(m_store.restore_copy());
    // Takes the lease id that the first holder renews.
    const auto second = hold("skylark/entries/e2");
    run_until([&] { return second->held(); });
    run_until([&] { return m_store.has("skylark/entries/e1"); });
    EXPECT_TRUE(m_store.has("skylark/entries/e2"));
}
