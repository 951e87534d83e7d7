// Plan: division of the requests, and what is to be recorded next.
#include <skylark/rollout/plan.hpp>

#include <algorithm>
#include <cmath>

#include <skylark/core/hash.hpp>

namespace skylark {

namespace {

// A bad version may get 0.1 of the requests; the draw is random.
constexpr double canary_share = 0.08;
// Beyond this share, and some requests more, the canary pauses: retries and
// uneven traffic may raise it above the share that is drawn.
constexpr double most_share = 0.09;
constexpr double most_beyond = 20.0;
// Part of the time in which a promoted version that has no room leaves requests
// to the earlier one.
constexpr double overflow_until = 0.8;
// The status is written this long before the deadline even if requests are in
// progress at the earlier version: two lost writes and the watch fit in.
constexpr duration write_margin = milliseconds{2500};

bool is_late(const rollout_times& times) {
    const duration margin = std::min(write_margin, times.m_total / 10);
    return times.m_elapsed >= times.m_total - margin;
}

bool canary_has_budget(const exposure& sums) {
    return static_cast<double>(sums.m_target_requests) <
           most_share * static_cast<double>(sums.m_requests) + most_beyond;
}

} // namespace

traffic_plan plan_traffic(rollout_stage stage, rollout_verdict verdict,
                          const exposure& sums, const rollout_times& times) {
    // When a completed roll-out is recorded, the operators stop the earlier
    // version, whatever this entry has found.
    if (stage == rollout_stage::completed)
        return {1.0, false, true};
    if (stage == rollout_stage::rolled_back || verdict == rollout_verdict::bad)
        return {0.0, true, false};
    if (stage == rollout_stage::promoted)
        return {1.0, !times.passed(overflow_until), true};
    const bool open = times.m_elapsed < times.m_total;
    return {open && canary_has_budget(sums) ? canary_share : 0.0, true, open};
}

std::optional<rollout_stage> plan_write(const write_facts& facts) {
    if (is_final(facts.m_stage))
        return std::nullopt;
    if (facts.m_verdict == rollout_verdict::bad)
        return rollout_stage::rolled_back;
    const bool late = is_late(facts.m_times);
    // Without an upstream of the target version, the end of the earlier ones
    // would be the end of the service.
    if (!facts.m_target_usable && late)
        return rollout_stage::rolled_back;
    if (!facts.m_target_usable && facts.m_stage != rollout_stage::ordered)
        return std::nullopt;
    if (facts.m_stage == rollout_stage::promoted) {
        if (facts.m_earlier_drained || late)
            return rollout_stage::completed;
        return std::nullopt;
    }
    if (facts.m_verdict == rollout_verdict::good && facts.m_target_usable)
        return late ? rollout_stage::completed : rollout_stage::promoted;
    // Nothing proves the version good, so the earlier one has to stay.
    if (late)
        return rollout_stage::rolled_back;
    if (facts.m_stage == rollout_stage::ordered)
        return rollout_stage::canary;
    return std::nullopt;
}

std::size_t canary_count(std::size_t earlier, std::size_t target) {
    const auto ordinary = static_cast<std::size_t>(
        std::lround(canary_share * static_cast<double>(earlier)));
    return std::min(target, std::max<std::size_t>(1, ordinary));
}

std::vector<upstream_id> choose_canaries(std::uint64_t order,
                                         std::span<const upstream_id> usable,
                                         std::size_t count) {
    std::vector<upstream_id> out{usable.begin(), usable.end()};
    std::sort(out.begin(), out.end(), [&](upstream_id left, upstream_id right) {
        return rendezvous(order, left.value()) >
               rendezvous(order, right.value());
    });
    out.resize(std::min(out.size(), count));
    return out;
}

} // namespace skylark
