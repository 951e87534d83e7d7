// Judgement on a version from the sums of the exposures.
#include <skylark/rollout/judge.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace skylark {

namespace {

// Fewer bad responses than this may come from one upstream that was stopped.
constexpr std::uint64_t least_bad = 6;
// Bad responses of a single upstream beyond which the version is bad and not
// just the upstream; well below the 50 after which it has to be stopped.
constexpr std::uint64_t most_of_one_upstream = 30;
// Rate of bad responses that is always tolerated.
constexpr double tolerated_rate = 0.02;
// Tolerated multiple of the earlier version's rate.
constexpr double rate_factor = 2.0;
// Standard deviations above the tolerated number.
constexpr double deviations = 4.0;
// A rate of the earlier version counts from as many responses.
constexpr std::uint64_t least_earlier = 20;

constexpr auto snapshot_period = seconds{1};
constexpr std::array<duration, 3> spans{seconds{2}, seconds{5}, seconds{10}};

// A version that becomes bad does so some seconds after its start.
constexpr double earliest_good = 0.6;
// Part of the time from which on missing responses no longer prevent "good".
constexpr double latest_good = 0.85;
constexpr std::uint64_t enough_responses = 20;
constexpr std::uint64_t earlier_per_response = 50;

double tolerated(const route_exposure& of) {
    const auto total = std::max(of.m_earlier.m_responses, least_earlier);
    const double earlier =
        static_cast<double>(of.m_earlier.bad()) / static_cast<double>(total);
    return std::min(1.0, std::max(tolerated_rate, rate_factor * earlier)) *
           static_cast<double>(of.m_target.m_responses);
}

bool exceeds(std::uint64_t bad, double expected) {
    return bad >= least_bad && static_cast<double>(bad) >
                                   expected + deviations * std::sqrt(expected);
}

bool is_single(std::uint64_t bits) {
    return (bits & (bits - 1)) == 0;
}

} // namespace

std::string_view name_of(rollout_verdict value) {
    switch (value) {
    case rollout_verdict::undecided:
        return "undecided";
    case rollout_verdict::good:
        return "good";
    case rollout_verdict::bad:
        break;
    }
    return "bad";
}

bool shows_bad(const exposure& span) {
    const std::uint64_t bad = span.target_bad();
    if (is_single(span.m_bad_upstreams) && bad < most_of_one_upstream)
        return false;
    double expected = 0.0;
    for (const route_exposure& item : span.m_routes) {
        const double here = tolerated(item);
        expected += here;
        if (exceeds(item.m_target.bad(), here))
            return true;
    }
    return exceeds(bad, expected);
}

bool has_enough(const exposure& sums) {
    if (sums.target_responses() < enough_responses)
        return false;
    return std::all_of(sums.m_routes.begin(), sums.m_routes.end(),
                       [](const route_exposure& item) {
                           return item.m_target.m_responses >=
                                  std::min(enough_responses,
                                           item.m_earlier.m_responses /
                                               earlier_per_response);
                       });
}

rollout_verdict rollout_judge::judge(const exposure& sums,
                                     const rollout_times& times,
                                     time_point now) {
    m_bad = m_bad || sums.m_bad || shows_bad(sums);
    for (const duration span : spans) {
        const auto from = std::find_if(
            m_past.rbegin(), m_past.rend(),
            [&](const past_sums& item) { return now - item.m_at >= span; });
        m_bad = m_bad ||
                (from != m_past.rend() && shows_bad(since(sums, from->m_sums)));
    }
    if (m_past.empty() || now - m_past.back().m_at >= snapshot_period)
        m_past.push_back({now, sums});
    while (now - m_past.front().m_at > spans.back() + 2 * snapshot_period)
        m_past.pop_front();
    if (m_bad)
        return rollout_verdict::bad;
    const bool forced = times.passed(latest_good) &&
                        (sums.target_responses() > 0 || sums.m_requests == 0);
    const bool good =
        times.passed(earliest_good) && (forced || has_enough(sums));
    return good ? rollout_verdict::good : rollout_verdict::undecided;
}

} // namespace skylark
