// Orders, status and records of roll-outs; what does not fit is one error.
#include "platform/rollout_records.hpp"

#include <gtest/gtest.h>

#include <skylark/config/document.hpp>

using namespace skylark;

namespace {

rollout_order order_of(const std::string& version, std::uint64_t revision) {
    return {"stock", version, seconds{30}, revision};
}

rollout_order recorded(const std::string& version, std::uint64_t revision,
                       rollout_stage stage) {
    rollout_order out = order_of(version, revision);
    out.m_stage = stage;
    out.m_seen_ms = 1234;
    return out;
}

} // namespace

TEST(rollout_records, reads_an_order) {
    const auto read = platform::read_rollout_order(
        "stock",
        R"({"service":"stock","target_version":"v2","duration_s":30.5})", 7);
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(read.value().m_target_version, "v2");
    EXPECT_EQ(read.value().m_duration, milliseconds{30500});
    EXPECT_EQ(read.value().m_revision, 7U);
    EXPECT_EQ(read.value().m_stage, rollout_stage::ordered);
}

TEST(rollout_records, an_unreadable_order_is_an_error_with_its_place) {
    for (const char* text :
         {"", "[]", R"({"target_version":"v2"})",
          R"({"target_version":"","duration_s":3})",
          R"({"target_version":2,"duration_s":3})",
          R"({"target_version":"v2","duration_s":-1})",
          R"({"target_version":"v2","duration_s":1e300})",
          R"({"service":"book","target_version":"v2","duration_s":3})"}) {
        const auto read = platform::read_rollout_order("stock", text, 7);
        ASSERT_FALSE(read) << text;
        EXPECT_EQ(read.error().m_place.find("op/rollout/stock"), 0U) << text;
    }
}

// The operators act on these texts.
TEST(rollout_records, the_status_has_the_states_that_operators_know) {
    const rollout_order order = order_of("v2", 7);
    const auto status = [&](rollout_stage stage) {
        return platform::format_rollout_status(order, stage);
    };
    EXPECT_EQ(status(rollout_stage::canary),
              R"({"state":"running","target_version":"v2"})");
    EXPECT_EQ(status(rollout_stage::promoted), status(rollout_stage::canary));
    EXPECT_EQ(status(rollout_stage::completed),
              R"({"state":"completed","target_version":"v2"})");
    EXPECT_EQ(status(rollout_stage::rolled_back),
              R"({"state":"rolled_back","target_version":"v2"})");
}

TEST(rollout_records, a_record_survives_the_store) {
    const auto kept = recorded("v2", 7, rollout_stage::promoted);
    const auto read = platform::read_rollout_record(
        "stock", platform::format_rollout_record(kept));
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(platform::with_record(order_of("v2", 7), read.value()), kept);
}

// An order of another version starts over; one that is only written again
// would otherwise lose its deadline.
TEST(rollout_records, a_record_applies_to_its_version_only) {
    using enum rollout_stage;
    const auto stage = [](const rollout_order& order,
                          const rollout_order& record) {
        return platform::with_record(order, record).m_stage;
    };
    EXPECT_EQ(stage(order_of("v3", 9), recorded("v2", 7, completed)), ordered);
    EXPECT_EQ(stage(order_of("v2", 9), recorded("v2", 7, canary)), canary);
    EXPECT_EQ(stage(order_of("v2", 9), recorded("v2", 7, rolled_back)),
              ordered);
    EXPECT_EQ(stage(order_of("v2", 7), recorded("v2", 7, rolled_back)),
              rolled_back);
    EXPECT_EQ(
        platform::with_record(order_of("v2", 9), recorded("v2", 7, canary))
            .m_revision,
        7U);
}

// Peers send the document to each other in this form.
TEST(rollout_records, the_document_s_json_keeps_orders) {
    document kept;
    rollout_order order = recorded("v2", 7, rollout_stage::promoted);
    order.m_status_revision = 11;
    kept.m_rollouts = {order, order_of("v9", 3)};
    kept.m_rollouts[1].m_service = "book";
    for (const std::string& text :
         {format_document(kept), format_compact_document(kept)}) {
        const auto read = parse_document(text);
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(read.value().m_rollouts, kept.m_rollouts);
    }
    EXPECT_EQ(format_compact_document({}).find("rollouts"), std::string::npos);
}
