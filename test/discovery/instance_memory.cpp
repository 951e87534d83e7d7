// A copy of the store does not undo what upstreams said after it was taken.
#include <skylark/discovery/instance_memory.hpp>

#include <gtest/gtest.h>

using namespace skylark;

namespace {

constexpr time_point start{seconds{100}};
constexpr duration rewrite_time{seconds{2}};

instance upstream(const std::string& id, std::uint64_t sequence,
                  bool leaving = false, std::uint64_t incarnation = 7) {
    instance out;
    out.m_id = id;
    out.m_leaving = leaving;
    out.m_incarnation = incarnation;
    out.m_sequence = sequence;
    return out;
}

class instance_memory_test : public testing::Test {
protected:
    std::vector<instance> offer(const store_position& index,
                                std::vector<instance> items,
                                time_point now = start) {
        instance_list list{index, std::move(items)};
        m_subject.reconcile(list, now);
        return list.m_instances;
    }

    instance_memory m_subject{rewrite_time};
};

} // namespace

TEST_F(instance_memory_test, an_upstream_that_is_gone_is_not_listed_again) {
    offer({50, 1}, {upstream("i-1", 3)});
    offer({51, 1}, {});
    EXPECT_TRUE(offer({41, 2}, {upstream("i-1", 2)}).empty());
    EXPECT_TRUE(offer({42, 2}, {upstream("i-1", 3)}).empty());
    // It has written since, so it exists.
    EXPECT_EQ(offer({43, 2}, {upstream("i-1", 4)}).size(), 1U);
}

TEST_F(instance_memory_test, a_new_incarnation_of_one_that_is_gone_is_listed) {
    offer({50, 1}, {upstream("i-1", 30)});
    offer({51, 1}, {});
    EXPECT_EQ(offer({41, 2}, {upstream("i-1", 1, false, 8)}).size(), 1U);
}

TEST_F(instance_memory_test, an_upstream_that_leaves_does_not_become_ready) {
    offer({50, 1}, {upstream("i-1", 3, true)});
    for (const std::uint64_t revision : {41U, 42U}) {
        const auto seen = offer({revision, 2}, {upstream("i-1", 2)});
        ASSERT_EQ(seen.size(), 1U);
        EXPECT_TRUE(seen[0].m_leaving);
    }
}

TEST_F(instance_memory_test, one_missing_from_the_copy_is_kept_for_a_while) {
    offer({50, 1}, {upstream("i-1", 3), upstream("i-2", 3)});
    auto seen = offer({41, 2}, {upstream("i-1", 3)});
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(seen[1].m_gone_from, start + rewrite_time);
    seen = offer({42, 2}, {upstream("i-1", 3), upstream("i-2", 4)});
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_FALSE(seen[1].m_gone_from);
    seen = offer({43, 2}, {upstream("i-2", 4)}, start + seconds{1});
    EXPECT_EQ(seen.size(), 1U); // removed in this era
}

TEST_F(instance_memory_test, one_that_stays_missing_is_removed) {
    offer({50, 1}, {upstream("i-1", 3)});
    offer({41, 2}, {});
    EXPECT_TRUE(offer({42, 2}, {}, start + rewrite_time).empty());
}

TEST_F(instance_memory_test, a_record_of_the_copy_restarts_no_cold_start) {
    instance cold = upstream("i-1", 3);
    cold.m_cold_until = start + seconds{1};
    offer({50, 1}, {cold});
    cold.m_cold_until = start + seconds{9}; // read again later
    const auto seen = offer({41, 2}, {cold}, start + seconds{8});
    EXPECT_EQ(seen[0].m_cold_until, start + seconds{1});
}

TEST_F(instance_memory_test, within_an_era_the_order_of_the_store_holds) {
    offer({50, 1}, {upstream("i-1", 9, true)});
    const auto seen = offer({51, 1}, {upstream("i-1", 2)});
    EXPECT_FALSE(seen[0].m_leaving);
    offer({52, 1}, {});
    EXPECT_EQ(offer({53, 1}, {upstream("i-1", 2)}).size(), 1U);
}

TEST_F(instance_memory_test, entries_are_listed_as_the_store_says) {
    instance entry = upstream("e-1", 0, false, 0);
    entry.m_role = instance_role::entry;
    offer({50, 1}, {entry});
    offer({51, 1}, {});
    EXPECT_EQ(offer({41, 2}, {entry}).size(), 1U);
    EXPECT_TRUE(offer({42, 2}, {}).empty());
}

// Peers pass on changes to lists that hold kept upstreams.
TEST_F(instance_memory_test, a_kept_one_that_is_offered_again_still_expires) {
    offer({50, 1}, {upstream("i-1", 3), upstream("i-2", 3)});
    auto seen = offer({41, 2}, {upstream("i-1", 3)});
    seen = offer({42, 2}, seen, start + seconds{1});
    ASSERT_EQ(seen.size(), 2U);
    EXPECT_EQ(seen[1].m_gone_from, start + rewrite_time);
    seen = offer({43, 2}, seen, start + rewrite_time);
    EXPECT_EQ(seen.size(), 1U);
}

TEST_F(instance_memory_test, one_that_the_new_era_removes_is_not_kept) {
    offer({50, 1}, {upstream("i-1", 3)});
    EXPECT_EQ(offer({41, 2}, {upstream("i-1", 2)}).size(), 1U);
    EXPECT_TRUE(offer({42, 2}, {}, start + seconds{1}).empty());
}

TEST_F(instance_memory_test, a_lower_incarnation_is_believed_in_the_end) {
    offer({50, 1}, {upstream("i-1", 3)});
    offer({51, 1}, {});
    offer({41, 2}, {});
    const std::vector restarted{upstream("i-1", 1, false, 6)};
    EXPECT_TRUE(offer({42, 2}, restarted).empty());
    EXPECT_EQ(offer({43, 2}, restarted, start + seconds{30}).size(), 1U);
}

TEST_F(instance_memory_test, tells_lists_that_differ_from_the_stores) {
    const auto corrects = [&](const store_position& index,
                              std::vector<instance> items) {
        instance_list list{index, std::move(items)};
        return m_subject.reconcile(list, start);
    };
    EXPECT_FALSE(corrects({50, 0}, {upstream("i-1", 3)}));
    EXPECT_FALSE(corrects({51, 0}, {upstream("i-1", 4)}));
    EXPECT_TRUE(corrects({41, 1}, {upstream("i-1", 4)})); // a new era
    EXPECT_FALSE(corrects({42, 1}, {upstream("i-1", 5)}));
}
