// Applying changes of the instance list gives every peer the same list.
#include <skylark/discovery/instance_log.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include <skylark/core/random.hpp>

#include "peer/codec.hpp"

using namespace skylark;

namespace {

instance made(const std::string& id, bool leaving = false) {
    instance out;
    out.m_id = id;
    out.m_address = {7, 80};
    out.m_service = "stock";
    out.m_zone = "enna";
    out.m_leaving = leaving;
    return out;
}

instance_list sorted(instance_list list) {
    std::sort(list.m_instances.begin(), list.m_instances.end(),
              [](const instance& left, const instance& right) {
                  return left.m_id < right.m_id;
              });
    return list;
}

} // namespace

TEST(instance_log, a_peer_is_sent_only_the_difference) {
    instance_log log;
    log.update({5, {made("a"), made("b"), made("c")}});
    log.update({6, {made("a", true), made("b"), made("d")}});
    const instance_changes changes = log.since(5);
    EXPECT_EQ(changes.m_base, 5U);
    ASSERT_EQ(changes.m_present.size(), 2U);
    EXPECT_EQ(changes.m_present[0].m_id, "a");
    EXPECT_EQ(changes.m_present[1].m_id, "d");
    ASSERT_EQ(changes.m_removed.size(), 1U);
    EXPECT_EQ(changes.m_removed[0].second, "c");
}

TEST(instance_log, an_unknown_index_gets_the_whole_list) {
    instance_log log;
    log.update({5, {made("a")}});
    log.update({6, {made("a"), made("b")}});
    for (const std::uint64_t index : {0U, 4U, 7U}) {
        EXPECT_EQ(log.since(index).m_base, 0U) << index;
        EXPECT_EQ(log.since(index).m_present.size(), 2U) << index;
    }
}

TEST(instance_log, changes_of_another_base_are_not_applied) {
    const instance_list base{5, {made("a")}};
    EXPECT_FALSE(apply(base, {4, 6, {made("b")}, {}}));
    EXPECT_TRUE(apply(base, {5, 6, {made("b")}, {}}));
    EXPECT_TRUE(apply(base, {0, 6, {made("b")}, {}}));
}

TEST(instance_log, peers_that_skip_changes_reach_the_same_list) {
    random_source random{3};
    instance_log log;
    instance_list now{1, {}};
    instance_list peer{};
    for (std::uint64_t index = 1; index < 6000; ++index) {
        now.m_index = index;
        const std::string id = std::to_string(random(40));
        const auto same = [&](const instance& of) { return of.m_id == id; };
        const bool present =
            std::any_of(now.m_instances.begin(), now.m_instances.end(), same);
        std::erase_if(now.m_instances, same);
        if (!present || random(2) == 0)
            now.m_instances.push_back(made(id, random(2) == 0));
        log.update(now);
        if (random(3) != 0)
            continue;
        const auto next = apply(peer, log.since(peer.m_index));
        ASSERT_TRUE(next);
        peer = *next;
        ASSERT_EQ(sorted(peer), sorted(now)) << index;
    }
}

// A peer that still lists an expired instance may use it until it expires; one
// that has removed it must not get it back from a peer that learns of it late.
TEST(instance_log, peers_do_not_resurrect_an_expired_instance) {
    instance expired = made("a");
    expired.m_gone_from = time_point{seconds{12}};
    const instance_changes delta{5, 7, {expired, made("b")}, {}};
    const instance_changes whole{0, 7, {expired, made("b")}, {}};
    const instance_list using_it{5, {made("a")}};
    const instance_list without_it{5, {made("c")}};
    const auto next = [](const instance_list& base,
                         const instance_changes& changes) {
        instance_list out = apply(base, changes).value();
        drop_resurrected(out, base);
        return out.m_instances;
    };
    EXPECT_EQ(next(without_it, delta), (std::vector{made("b"), made("c")}));
    EXPECT_EQ(next(without_it, whole), std::vector{made("b")});
    EXPECT_EQ(next(using_it, delta), (std::vector{expired, made("b")}));
    EXPECT_EQ(next(using_it, whole), (std::vector{expired, made("b")}));
}

TEST(instance_log, changes_survive_the_wire) {
    instance cold = made("a", true);
    cold.m_incarnation = 7;
    cold.m_cold_until = time_point{seconds{12}};
    cold.m_gone_from = time_point{seconds{11}};
    instance entry = made("e");
    entry.m_role = instance_role::entry;
    const instance_changes sent{
        5, 9, {cold, entry}, {{instance_role::upstream, "gone"}}};
    const auto bytes = peer::encode(sent, time_point{seconds{10}});
    const auto got = peer::decode_changes(bytes, time_point{seconds{10}});
    ASSERT_TRUE(got);
    EXPECT_EQ(got.value(), sent);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        EXPECT_FALSE(peer::decode_changes({bytes.data(), size}, {})) << size;
}

TEST(instance_log, peers_get_the_whole_list_after_a_corrected_one) {
    instance_log subject;
    subject.update({{50, 1}, {}});
    subject.update({{41, 2}, {}}, true);
    // Lists at the same position may differ.
    subject.update({{42, 2}, {}});
    EXPECT_FALSE(subject.since({50, 1}).m_base.known());
    EXPECT_FALSE(subject.since({41, 2}).m_base.known());
    EXPECT_TRUE(subject.since({42, 2}).m_base.known());
}
