// The ways of docs/design/allowances.md that were not built, with the same
// teams: the note's reasons against them have to stay true.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include <skylark/allowance/paced_share.hpp>

namespace skylark::test {
namespace {

constexpr std::size_t entries = 117;
constexpr double length = 20.0;

std::vector<double> arrivals(double rate, double factor, double from,
                             std::mt19937_64& random) {
    std::vector<double> out;
    double now = 0.0;
    while (now < length) {
        const double usual = now < from ? rate : rate * factor;
        now += std::exponential_distribution<double>{usual}(random);
        out.push_back(now);
    }
    return out;
}

std::size_t most_in_window(const std::vector<double>& times) {
    std::size_t out = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > 5.0)
            ++first;
        out = std::max(out, last - first + 1);
    }
    return out;
}

time_point at(double seconds_since) {
    return time_point{
        duration{static_cast<std::int64_t>((100.0 + seconds_since) * 1e6)}};
}

// Part of a team's requests that fixed shares refuse, at its usual rate.
double refused_by_fixed_shares(double usual) {
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> phase;
    std::vector<paced_share> shares(entries);
    for (paced_share& item : shares)
        item.restart(1.6 * usual / entries, phase(random), at(0.0));
    std::size_t refused = 0;
    const auto all = arrivals(usual, 1.0, 0.0, random);
    for (const double when : all)
        refused += shares[random() % entries].take(at(when)) ? 0 : 1;
    return static_cast<double>(refused) / static_cast<double>(all.size());
}

// Most teams have far less than one token a second and entry, so their requests
// mostly find none. Only the largest team could live with it.
TEST(allowance_alternatives, fixed_shares_lose_requests_below_the_limit) {
    for (const double usual : {1.0, 10.0, 192.0}) {
        const double lost = refused_by_fixed_shares(usual);
        std::printf("fixed shares, %.0f/s, limit %.1f/s: %.2f refused\n", usual,
                    1.6 * usual, lost);
        if (usual <= 10.0) {
            EXPECT_GT(lost, 0.5);
        }
    }
}

// Requests of a team in 5 s, as a part of the tolerated number, when entries
// admit at random by sums of the demand that are `delay` old and averaged over
// a second.
double worst_with_sums(double usual, double delay) {
    std::mt19937_64 random{3};
    std::uniform_real_distribution<double> chance;
    const double limit = 1.6 * usual;
    std::vector<double> ran;
    const auto all = arrivals(usual, 7.5, 8.0, random);
    for (const double when : all) {
        const auto known =
            std::count_if(all.begin(), all.end(), [when, delay](double then) {
                return then <= when - delay && then > when - delay - 1.0;
            });
        const double demand = std::max<double>(1.0, known);
        if (chance(random) < limit / demand)
            ran.push_back(when);
    }
    return most_in_window(ran) / ((5.0 * limit + limit) * 1.1 + 20.0);
}

TEST(allowance_alternatives, sums_of_demand_exceed_the_limit_in_a_burst) {
    for (const double delay : {0.4, 1.2}) {
        const double worst = worst_with_sums(192.0, delay);
        std::printf("sums %.1f s old, 192/s times 7.5: %.2f of tolerated\n",
                    delay, worst);
        EXPECT_GT(worst, 1.0);
    }
}

} // namespace
} // namespace skylark::test
