// The mirror holds what the store held, whatever order it learns it in.
#include "store/mirror.hpp"

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const time_point start{seconds{100}};
constexpr auto hold = milliseconds{2200};

store::record put(const std::string& key, std::uint64_t revision) {
    return {key, "v" + std::to_string(revision), revision, false};
}

store::record removal(const std::string& key, std::uint64_t revision) {
    return {key, "", revision, true};
}

store::mirror listed(const std::vector<store::record>& records,
                     std::uint64_t revision) {
    store::mirror out{"servers/", hold};
    out.begin_listing();
    out.list({records, false, revision});
    out.end_listing(start);
    return out;
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
    EXPECT_EQ(subject.changed("op/"), 7U);
    EXPECT_EQ(subject.changed("servers/"), 8U);
}

// Pages are no snapshot: a change between two pages is seen twice.
TEST(mirror, a_change_that_a_later_page_showed_does_not_go_back) {
    store::mirror subject{"servers/", hold};
    subject.begin_listing();
    subject.list({{put("op/a", 3)}, true, 10});
    subject.list({{put("op/b", 12)}, false, 12});
    subject.end_listing(start);
    EXPECT_EQ(subject.revision(), 10U);
    subject.apply({{put("op/b", 11), put("op/b", 12)}, 12}, start);
    EXPECT_EQ(subject.all().at("op/b").m_value, "v12");
}

// A later page must not make the version cover changes that are not in yet:
// whoever compares versions would never ask for them.
TEST(mirror, a_version_covers_only_what_the_oldest_page_showed) {
    store::mirror subject{"servers/", hold};
    subject.begin_listing();
    subject.list({{put("servers/a", 3)}, false, 10});
    subject.list({{put("skylark/e", 15)}, false, 15});
    subject.end_listing(start);
    const auto newest = [&] {
        return std::max(subject.version("servers/"),
                        subject.version("skylark/"));
    };
    const auto before = newest();
    subject.apply({{put("servers/a", 12)}, 13}, start);
    const auto after = newest();
    EXPECT_GT(after, before);
    subject.apply({{put("skylark/e", 15)}, 15}, start);
    EXPECT_GT(newest(), after) << "others call the same state revision 15";
}

TEST(mirror, a_listing_after_lost_history_removes_what_is_gone) {
    auto subject = listed({put("op/a", 3), put("op/b", 4)}, 5);
    subject.begin_listing();
    subject.list({{put("op/b", 4)}, false, 20});
    subject.end_listing(start);
    EXPECT_FALSE(subject.all().contains("op/a"));
    EXPECT_EQ(subject.changed("op/"), 20U);
}

TEST(mirror, a_removal_counts_at_once_while_the_store_is_there) {
    auto subject = listed({put("servers/a", 3)}, 5);
    subject.apply({{removal("servers/a", 6)}, 6}, start);
    EXPECT_TRUE(subject.all().empty());
}

TEST(mirror, a_removal_after_an_outage_waits_for_the_owner) {
    auto subject =
        listed({put("servers/a", 3), put("servers/b", 4), put("op/c", 4)}, 5);
    subject.lost();
    subject.reached(start);
    subject.apply(
        {{removal("servers/a", 6), removal("servers/b", 7), removal("op/c", 8)},
         8},
        start);
    // Operators' keys have no owner that could write them again.
    EXPECT_FALSE(subject.all().contains("op/c"));
    EXPECT_EQ(subject.all().size(), 2U);
    subject.apply({{put("servers/a", 9)}, 9}, start + seconds{1});
    const auto before = subject.version("servers/");
    ASSERT_TRUE(subject.next_due());
    subject.settle(*subject.next_due());
    EXPECT_TRUE(subject.all().contains("servers/a"));
    EXPECT_FALSE(subject.all().contains("servers/b"));
    EXPECT_GT(subject.version("servers/"), before);
    EXPECT_FALSE(subject.next_due());
}

TEST(mirror, the_hold_ends) {
    auto subject = listed({put("servers/a", 3)}, 5);
    subject.lost();
    subject.reached(start);
    subject.reached(start + hold);
    subject.apply({{removal("servers/a", 6)}, 6}, start + hold);
    EXPECT_TRUE(subject.all().empty());
}

// A removal that was held has a version between two revisions.
TEST(mirror, the_next_revision_is_newer_than_a_held_removal) {
    auto subject = listed({put("servers/a", 3), put("servers/b", 4)}, 5);
    subject.lost();
    subject.reached(start);
    subject.apply({{removal("servers/a", 6)}, 6}, start);
    subject.settle(start + hold);
    const auto settled = subject.version("servers/");
    subject.apply({{put("servers/b", 7)}, 7}, start + hold);
    EXPECT_GT(subject.version("servers/"), settled);
}

// Whoever goes by the greatest version of several segments sees it too.
TEST(mirror, a_held_removal_is_newer_than_every_segment) {
    auto subject = listed({put("servers/a", 3), put("skylark/x", 4)}, 5);
    subject.lost();
    subject.reached(start);
    subject.apply({{removal("servers/a", 6), put("skylark/x", 9)}, 9}, start);
    const auto before = subject.version("skylark/");
    subject.settle(start + hold);
    EXPECT_GT(subject.version("servers/"), before);
}
