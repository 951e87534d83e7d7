// The revision in force never decreases, whatever is offered.
#include <skylark/config/adoption.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};

std::string text_of(const std::string& change, std::uint64_t version = 0,
                    const std::string& drained = {}) {
    document out;
    out.m_change_id = change;
    out.m_version = version;
    for (const std::string name : {"a", "b"})
        out.m_zones.push_back(
            {name, "",
             name == drained ? zone_state::drained : zone_state::active});
    return format_document(out);
}

template <class Kind>
bool is(const adoption_result& result) {
    return std::holds_alternative<Kind>(result);
}

} // namespace

TEST(adoption, never_reverts) {
    config_adoption subject;
    EXPECT_TRUE(is<adopted>(subject.offer(5, text_of("five"), start)));
    EXPECT_TRUE(is<reverted>(subject.offer(4, text_of("four"), start)));
    EXPECT_TRUE(is<unchanged>(subject.offer(5, text_of("other"), start)));
    EXPECT_EQ(subject.current().m_change_id, "five");
    EXPECT_TRUE(is<adopted>(subject.offer(9, text_of("nine"), start)));
    EXPECT_EQ(subject.position(), store_position{9});
}

TEST(adoption, keeps_the_last_valid_document) {
    config_adoption subject;
    subject.offer(5, text_of("five"), start);
    EXPECT_TRUE(is<refused>(subject.offer(6, "{\"zones\": 1}", start)));
    EXPECT_EQ(subject.current().m_change_id, "five");
    EXPECT_EQ(subject.position(), store_position{5});
    EXPECT_EQ(subject.refused_position(), store_position{6});
}

TEST(adoption, ignores_outdated_confirmations) {
    config_adoption subject;
    subject.offer(5, text_of("five"), start);
    subject.confirmed({0, 4}, start);
    EXPECT_EQ(subject.age(start), duration::max());
    subject.confirmed({0, 5}, start);
    EXPECT_EQ(subject.age(start + seconds{2}), seconds{2});
    subject.confirmed({0, 5}, start - seconds{9}); // arrives late
    EXPECT_EQ(subject.age(start + seconds{2}), seconds{2});
}

// A restored store has an older configuration at a later position.
TEST(adoption, a_copy_of_the_store_does_not_bring_an_older_version_back) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    EXPECT_TRUE(
        is<reverted>(subject.offer({41, 2}, text_of("nine", 9), start)));
    EXPECT_EQ(subject.current().m_change_id, "twelve");
    EXPECT_EQ(subject.reverted_position(), (store_position{41, 2}));
}

TEST(adoption, a_reissued_revision_is_a_new_one) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    EXPECT_TRUE(
        is<adopted>(subject.offer({50, 2}, text_of("thirteen", 13), start)));
    EXPECT_TRUE(
        is<adopted>(subject.offer({51, 2}, text_of("fourteen", 14), start)));
    EXPECT_EQ(subject.current().m_change_id, "fourteen");
}

TEST(adoption, a_refused_revision_does_not_block_the_next_era) {
    config_adoption subject;
    subject.offer({60, 1}, "no document", start);
    EXPECT_TRUE(is<adopted>(subject.offer({41, 2}, text_of("nine", 9), start)));
    EXPECT_LT(subject.refused_position(), subject.position());
}

TEST(adoption, a_zone_stays_drained_while_its_key_may_be_written_again) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12, "a"), start);
    subject.offer({45, 2}, text_of("twelve", 12), start);
    EXPECT_EQ(subject.current().find_zone("a")->m_state, zone_state::drained);
    EXPECT_EQ(subject.current().find_zone("b")->m_state, zone_state::active);
    // A newer version alone does not take it back either.
    subject.offer({46, 2}, text_of("thirteen", 13), start + seconds{1});
    EXPECT_EQ(subject.current().find_zone("a")->m_state, zone_state::drained);
    ASSERT_TRUE(subject.retention_end());
    EXPECT_FALSE(subject.end_retention(start));
    EXPECT_TRUE(subject.end_retention(*subject.retention_end()));
    EXPECT_EQ(subject.current().find_zone("a")->m_state, zone_state::active);
}

TEST(adoption, a_zone_drained_again_after_a_restore_can_be_taken_back) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12, "a"), start);
    subject.offer({45, 2}, text_of("twelve", 12, "a"), start);
    EXPECT_FALSE(subject.retention_end());
    subject.offer({46, 2}, text_of("twelve", 12), start);
    EXPECT_EQ(subject.current().find_zone("a")->m_state, zone_state::active);
}

TEST(adoption, an_older_version_does_not_confirm_the_one_in_force) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    subject.confirmed({9, {41, 2}}, start);
    EXPECT_EQ(subject.age(start), duration::max());
    subject.confirmed({12, {45, 2}}, start);
    EXPECT_EQ(subject.age(start), duration{0});
}

TEST(adoption, a_zone_is_drained_although_the_copys_version_is_older) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    const auto result = subject.offer({43, 2}, text_of("nine", 9, "b"), start);
    ASSERT_TRUE(is<reverted>(result));
    EXPECT_TRUE(std::get<reverted>(result).m_zones_changed);
    EXPECT_EQ(subject.current().m_change_id, "twelve");
    EXPECT_EQ(subject.current().find_zone("b")->m_state, zone_state::drained);
    subject.offer({44, 2}, text_of("nine", 9), start);
    EXPECT_EQ(subject.current().find_zone("b")->m_state, zone_state::active);
}

// Peers fetch what is later by version, at whatever position.
TEST(adoption, a_later_version_at_a_lower_position_is_adopted) {
    config_adoption subject;
    subject.offer({51, 2}, text_of("twelve", 12), start);
    EXPECT_TRUE(
        is<adopted>(subject.offer({50, 2}, text_of("thirteen", 13), start)));
}

// It shows that the one in force is outdated.
TEST(adoption, a_newer_version_does_not_confirm_the_one_in_force) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    subject.confirmed({13, {51, 1}}, start);
    subject.confirmed({12, {51, 1}}, start);
    EXPECT_EQ(subject.age(start), duration::max());
    subject.confirmed({12, {50, 1}}, start);
    EXPECT_EQ(subject.age(start), duration{0});
}

TEST(adoption, the_same_text_at_a_later_position_is_adopted) {
    config_adoption subject;
    subject.offer({50, 1}, text_of("twelve", 12), start);
    EXPECT_TRUE(
        is<adopted>(subject.offer({60, 1}, text_of("twelve", 12), start)));
    EXPECT_EQ(subject.position(), (store_position{60, 1}));
    EXPECT_EQ(subject.current().m_change_id, "twelve");
}

// A record of the store that cannot be read has an empty value.
TEST(adoption, an_empty_text_is_refused_before_the_first_document) {
    config_adoption subject;
    EXPECT_TRUE(is<refused>(subject.offer(5, "", start)));
    EXPECT_FALSE(subject.ready());
}
