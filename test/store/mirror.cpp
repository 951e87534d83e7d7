// The mirror matches the store, in whatever order listings and changes arrive.
#include "store/mirror.hpp"

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const time_point start{seconds{100}};
constexpr lapse_timing timing;
constexpr auto outage = 2 * timing.m_renewal_interval;

store::record put(const std::string& key, std::uint64_t revision) {
    return {key, "v" + std::to_string(revision), revision, false};
}

store::record removal(const std::string& key, std::uint64_t revision) {
    return {key, "", revision, true};
}

store::mirror listed(const std::vector<store::record>& records,
                     std::uint64_t revision) {
    store::mirror out{"servers/", timing};
    out.begin_listing();
    out.add_page({records, false, revision});
    out.end_listing(start);
    return out;
}

// The store answers at the start, for the first time after the outage.
void end_outage(store::mirror& subject) {
    subject.call_succeeded(start - outage);
    subject.call_failed();
    subject.call_succeeded(start);
}

} // namespace

TEST(mirror, applies_changes_in_order) {
    auto subject = listed({put("op/config", 3)}, 5);
    EXPECT_EQ(subject.revision(), 5U);
    subject.apply(
        {{put("op/config", 6), removal("op/config", 7), put("servers/a", 8)},
         9},
        start);
    EXPECT_FALSE(subject.all().contains("op/config"));
    EXPECT_TRUE(subject.all().contains("servers/a"));
    EXPECT_EQ(subject.revision(), 9U);
    EXPECT_EQ(subject.last_changed("op/"), 7U);
    EXPECT_EQ(subject.last_changed("servers/"), 8U);
}

// Pages are not a snapshot: a change between two pages is returned by the later
// page and again as a change.
TEST(mirror, an_older_change_does_not_overwrite_a_listed_record) {
    store::mirror subject{"servers/", timing};
    subject.begin_listing();
    subject.add_page({{put("op/a", 3)}, true, 10});
    subject.add_page({{put("op/b", 12)}, false, 12});
    subject.end_listing(start);
    EXPECT_EQ(subject.revision(), 10U);
    subject.apply({{put("op/b", 11), put("op/b", 12)}, 12}, start);
    EXPECT_EQ(subject.all().at("op/b").m_value, "v12");
}

// The version must not cover changes that are not applied yet because a later
// page was newer: entries that compare versions would never request them.
TEST(mirror, the_version_is_bounded_by_the_oldest_page) {
    store::mirror subject{"servers/", timing};
    subject.begin_listing();
    subject.add_page({{put("servers/a", 3)}, false, 10});
    subject.add_page({{put("skylark/e", 15)}, false, 15});
    subject.end_listing(start);
    const auto newest = [&] {
        return subject.version({"servers/", "skylark/"});
    };
    const auto before = newest();
    subject.apply({{put("servers/a", 12)}, 13}, start);
    const auto after = newest();
    EXPECT_GT(after, before);
    subject.apply({{put("skylark/e", 15)}, 15}, start);
    EXPECT_GT(newest(), after) << "other entries give this state revision 15";
}

TEST(mirror, a_new_listing_removes_deleted_records) {
    auto subject = listed({put("op/a", 3), put("op/b", 4)}, 5);
    subject.begin_listing();
    subject.add_page({{put("op/b", 4)}, false, 20});
    subject.end_listing(start);
    EXPECT_FALSE(subject.all().contains("op/a"));
    EXPECT_EQ(subject.last_changed("op/"), 20U);
}

TEST(mirror, a_removal_applies_at_once_without_an_outage) {
    auto subject = listed({put("servers/a", 3)}, 5);
    subject.apply({{removal("servers/a", 6)}, 6}, start);
    EXPECT_TRUE(subject.all().empty());
}

TEST(mirror, a_removal_after_an_outage_is_delayed) {
    auto subject =
        listed({put("servers/a", 3), put("servers/b", 4), put("op/c", 4)}, 5);
    end_outage(subject);
    subject.apply(
        {{removal("servers/a", 6), removal("servers/b", 7), removal("op/c", 8)},
         8},
        start);
    // Operators' keys have no owner that would write them again, so their
    // removal is not delayed.
    EXPECT_FALSE(subject.all().contains("op/c"));
    EXPECT_EQ(subject.all().size(), 2U);
    subject.apply({{put("servers/a", 9)}, 9}, start + seconds{1});
    const auto before = subject.version({"servers/"});
    ASSERT_TRUE(subject.next_removal_due());
    subject.apply_due_removals(*subject.next_removal_due());
    EXPECT_TRUE(subject.all().contains("servers/a"));
    EXPECT_FALSE(subject.all().contains("servers/b"));
    EXPECT_GT(subject.version({"servers/"}), before);
    EXPECT_FALSE(subject.next_removal_due());
}

// Nothing lapses in a break shorter than the interval between renewals.
TEST(mirror, a_removal_after_a_failed_call_applies_at_once) {
    auto subject = listed({put("servers/a", 3)}, 5);
    subject.call_succeeded(start);
    subject.call_failed();
    const time_point next = start + timing.m_renewal_interval / 2;
    subject.call_succeeded(next);
    subject.apply({{removal("servers/a", 6)}, 6}, next);
    EXPECT_TRUE(subject.all().empty());
}

TEST(mirror, removals_are_delayed_for_a_limited_time) {
    auto subject = listed({put("servers/a", 3)}, 5);
    end_outage(subject);
    subject.call_succeeded(start + timing.m_rewrite_time);
    subject.apply({{removal("servers/a", 6)}, 6},
                  start + timing.m_rewrite_time);
    EXPECT_TRUE(subject.all().empty());
}

// A delayed removal gets a version between those of two revisions.
TEST(mirror, the_next_revision_has_a_later_version_than_a_delayed_removal) {
    auto subject = listed({put("servers/a", 3), put("servers/b", 4)}, 5);
    end_outage(subject);
    subject.apply({{removal("servers/a", 6)}, 6}, start);
    subject.apply_due_removals(start + timing.m_rewrite_time);
    const auto settled = subject.version({"servers/"});
    subject.apply({{put("servers/b", 7)}, 7}, start + timing.m_rewrite_time);
    EXPECT_GT(subject.version({"servers/"}), settled);
}

// Code that takes the version of several prefixes must see it too.
TEST(mirror, a_delayed_removal_raises_the_version_of_several_prefixes) {
    auto subject = listed({put("servers/a", 3), put("skylark/x", 4)}, 5);
    end_outage(subject);
    subject.apply({{removal("servers/a", 6), put("skylark/x", 9)}, 9}, start);
    const auto before = subject.version({"servers/", "skylark/"});
    subject.apply_due_removals(start + timing.m_rewrite_time);
    EXPECT_GT(subject.version({"servers/", "skylark/"}), before);
}

// An entry whose calls did not fail knows that the owner is gone. Its list must
// count as later, so that entries which delay the removal take it over.
TEST(mirror, a_removal_at_once_is_later_than_a_delayed_one) {
    const std::vector<store::record> before{put("servers/a", 3),
                                            put("skylark/x", 4)};
    auto delaying = listed(before, 5);
    auto knowing = listed(before, 5);
    end_outage(delaying);
    const auto later = [&] {
        return knowing.version({"servers/", "skylark/"}) >
               delaying.version({"servers/", "skylark/"});
    };
    for (const auto& change :
         {store::record_changes{{removal("servers/a", 6)}, 6},
          store::record_changes{{put("skylark/x", 7)}, 7}}) {
        delaying.apply(change, start);
        knowing.apply(change, start);
        EXPECT_TRUE(later()) << change.m_revision;
    }
    delaying.apply_due_removals(start + timing.m_rewrite_time);
    EXPECT_EQ(delaying.version({"servers/", "skylark/"}),
              knowing.version({"servers/", "skylark/"}));
}
