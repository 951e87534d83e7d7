// Input that takes long must not keep the other connections of an iteration
// waiting.
#include "io/read_budget.hpp"

#include <gtest/gtest.h>

using namespace skylark;
using io::read_budget;

namespace {
constexpr std::size_t most = std::size_t{16} << 10U;
} // namespace

TEST(read_budget, connections_beyond_the_time_of_an_iteration_take_little) {
    read_budget budget;
    EXPECT_EQ(budget.next(1, most), most);
    budget.add(read_budget::iteration_time / 2);
    EXPECT_EQ(budget.next(1, most), most);
    budget.add(read_budget::iteration_time / 2);
    EXPECT_EQ(budget.next(1, most), read_budget::least_bytes);
}

TEST(read_budget, each_iteration_has_its_own) {
    read_budget budget;
    budget.next(1, most);
    budget.add(read_budget::iteration_time);
    EXPECT_EQ(budget.next(2, most), most);
}

TEST(read_budget, a_smaller_limit_holds) {
    read_budget budget;
    EXPECT_EQ(budget.next(1, 100), 100U);
    budget.add(read_budget::iteration_time);
    EXPECT_EQ(budget.next(1, 100), 100U);
}
