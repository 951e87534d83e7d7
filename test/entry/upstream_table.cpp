// What an upstream said outlasts its place in the instance list, but not its
// incarnation.
#include "entry/upstream_table.hpp"

#include <gtest/gtest.h>

#include "io/event_loop.hpp"

using namespace skylark;

namespace {

instance listed(std::uint64_t incarnation) {
    instance out;
    out.m_id = "i-1";
    out.m_address = {0x7f000001U, 80};
    out.m_service = "stock";
    out.m_zone = "a";
    out.m_incarnation = incarnation;
    return out;
}

class upstream_table_test : public testing::Test {
protected:
    entry::upstream* adopt(std::vector<instance> instances) {
        m_table.adopt({}, {++m_index, std::move(instances)});
        const auto& all = m_table.of_service("stock");
        return all.empty() ? nullptr : m_table.find(all.front());
    }

    entry::upstream_table m_table{entry_id{1}, "a"};
    std::uint64_t m_index{};
};

} // namespace

TEST_F(upstream_table_test, one_that_leaves_is_known_when_listed_again) {
    adopt({listed(1)})->m_availability.leave();
    EXPECT_EQ(adopt({}), nullptr);
    EXPECT_TRUE(adopt({listed(1)})->m_availability.leaving());
    EXPECT_EQ(adopt({}), nullptr);
    EXPECT_TRUE(adopt({listed(1)})->m_availability.leaving());
}

TEST_F(upstream_table_test, a_rest_is_known_when_listed_again) {
    const time_point now = io::event_loop::now();
    adopt({listed(1)})->m_availability.rest(now, seconds{60});
    adopt({});
    EXPECT_EQ(adopt({listed(1)})->m_availability.usable_from(),
              now + seconds{60});
}

TEST_F(upstream_table_test, a_new_incarnation_starts_without_a_past) {
    adopt({listed(1)})->m_availability.leave();
    adopt({});
    EXPECT_FALSE(adopt({listed(2)})->m_availability.leaving());
}

TEST_F(upstream_table_test, connections_in_use_are_counted_when_listed_again) {
    adopt({listed(1)})->m_connections = 1;
    adopt({});
    EXPECT_EQ(adopt({listed(1)})->m_connections, 1U);
}
