// Retry-After: when a refused caller should return.
#include <skylark/limit/retry_after.hpp>

#include <algorithm>

namespace skylark {

namespace internal {

// Smallest value that a Retry-After can say.
constexpr duration at_once = milliseconds{1};
// Where nothing is known of the load.
constexpr duration default_delay = milliseconds{300};
// A new connection of the caller and the probes before the next attempt.
constexpr duration return_overhead = milliseconds{15};
constexpr duration min_soon_delay = milliseconds{5};
// With this share of upstreams with room, a request that probes a dozen of them
// finds one nearly always.
constexpr double min_room_for_return = 0.2;
// Slots of several upstreams become free within this part of a service time.
constexpr int soon_divisor = 4;
// A burst drains over some service times. The spread keeps callers that were
// refused together from returning together.
constexpr int spread_begin = 3;
constexpr int spread_end = 7;
// Of the store, for an entry that starts.
constexpr duration store_answer_time = milliseconds{20};

static duration spread(const refusal& why, random_source& random) {
    if (why.m_service_time <= duration{0})
        return default_delay;
    constexpr std::uint32_t steps = 1000;
    const duration range = why.m_service_time * (spread_end - spread_begin);
    return why.m_service_time * spread_begin + range * random(steps) / steps;
}

} // namespace internal

duration retry_after(const refusal& why, random_source& random) {
    if (why.m_cause == refusal_cause::entry_leaving)
        return internal::at_once;
    if (why.m_until_usable)
        return std::max(*why.m_until_usable, internal::at_once);
    if (why.m_cause == refusal_cause::upstream_refused)
        return internal::at_once;
    if (why.m_cause == refusal_cause::no_upstream)
        return internal::default_delay;
    const duration spare =
        why.m_target_left - why.m_service_time - internal::return_overhead;
    const bool can_be_in_time =
        why.m_service_time > duration{0} && spare > duration{0};
    if (!can_be_in_time || why.m_room_share < internal::min_room_for_return)
        return internal::spread(why, random);
    return std::max<duration>(
        std::min<duration>(why.m_service_time / internal::soon_divisor,
                           spare / 2),
        internal::min_soon_delay);
}

duration retry_after_start(duration since_start, duration first_call) {
    if (since_start < first_call)
        return first_call - since_start + internal::store_answer_time;
    return std::clamp<duration>(since_start - first_call,
                                internal::store_answer_time,
                                internal::default_delay);
}

} // namespace skylark
