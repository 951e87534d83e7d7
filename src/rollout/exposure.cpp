// Exposure: sums over entries, spans and routes.
#include <skylark/rollout/exposure.hpp>

#include <algorithm>

#include <skylark/core/hash.hpp>

namespace skylark {

namespace {

// A mean of fewer times than this says too little to call a response slow.
constexpr std::uint64_t least_timed = 8;
// Several times slower than the earlier version. Service times vary by a factor
// of two or three on a good version.
constexpr int slow_factor = 4;

template <class Apply>
void combine(version_counts& to, const version_counts& from, Apply apply) {
    apply(to.m_responses, from.m_responses);
    apply(to.m_failures, from.m_failures);
    apply(to.m_slow, from.m_slow);
    apply(to.m_timed, from.m_timed);
    apply(to.m_time_us, from.m_time_us);
}

template <class Apply>
void combine(exposure& to, const exposure& from, Apply apply) {
    apply(to.m_requests, from.m_requests);
    apply(to.m_target_requests, from.m_target_requests);
    for (const route_exposure& item : from.m_routes) {
        route_exposure& own = to.on_route(item.m_route);
        combine(own.m_target, item.m_target, apply);
        combine(own.m_earlier, item.m_earlier, apply);
    }
}

void merge_state(exposure& to, const exposure& from) {
    if (from.m_order != 0)
        to.m_order = from.m_order;
    to.m_elapsed = std::max(to.m_elapsed, from.m_elapsed);
    to.m_bad = to.m_bad || from.m_bad;
    to.m_bad_upstreams |= from.m_bad_upstreams;
}

template <class Routes>
auto position_of(Routes& routes, std::uint32_t route) {
    return std::lower_bound(
        routes.begin(), routes.end(), route,
        [](const route_exposure& item, std::uint32_t wanted) {
            return item.m_route < wanted;
        });
}

} // namespace

route_exposure& exposure::on_route(std::uint32_t route) {
    const auto found = position_of(m_routes, route);
    if (found != m_routes.end() && found->m_route == route)
        return *found;
    return *m_routes.insert(found, route_exposure{route, {}, {}});
}

const route_exposure* exposure::find_route(std::uint32_t route) const {
    const auto found = position_of(m_routes, route);
    return found != m_routes.end() && found->m_route == route ? &*found
                                                              : nullptr;
}

std::uint64_t exposure::target_bad() const {
    std::uint64_t out = 0;
    for (const route_exposure& item : m_routes)
        out += item.m_target.bad();
    return out;
}

std::uint64_t exposure::target_responses() const {
    std::uint64_t out = 0;
    for (const route_exposure& item : m_routes)
        out += item.m_target.m_responses;
    return out;
}

std::uint64_t order_key(const rollout_order& of) {
    const std::uint64_t both =
        rendezvous(hash(of.m_service), hash(of.m_target_version));
    return rendezvous(both, of.m_revision);
}

std::uint32_t route_key(std::string_view rule) {
    return static_cast<std::uint32_t>(hash(rule));
}

void add(exposure& to, const exposure& from) {
    merge_state(to, from);
    to.m_earlier_in_progress += from.m_earlier_in_progress;
    combine(to, from,
            [](std::uint64_t& sum, std::uint64_t value) { sum += value; });
}

void raise(exposure& to, const exposure& from) {
    merge_state(to, from);
    combine(to, from, [](std::uint64_t& kept, std::uint64_t value) {
        kept = std::max(kept, value);
    });
}

exposure since(const exposure& now, const exposure& before) {
    exposure out = now;
    combine(out, before, [](std::uint64_t& kept, std::uint64_t value) {
        kept -= std::min(kept, value);
    });
    return out;
}

duration earlier_time(const exposure& sums, std::uint32_t route) {
    const route_exposure* found = sums.find_route(route);
    if (!found || found->m_earlier.m_timed < least_timed)
        return duration{0};
    return duration{static_cast<duration::rep>(found->m_earlier.m_time_us /
                                               found->m_earlier.m_timed)};
}

bool is_slow(duration normalized, duration reference) {
    return reference > duration{0} && normalized > slow_factor * reference;
}

} // namespace skylark
