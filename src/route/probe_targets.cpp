// Selection of the upstreams to probe for one request.
#include "route/probe_targets.hpp"

#include <algorithm>
#include <tuple>

namespace skylark::internal {

namespace {

// With a third of the upstreams slow, five of them are all slow once in 240
// requests, and others are probed then. Each entry opens this many connections
// to each service.
constexpr std::ptrdiff_t min_open_connections = 5;
// With this many idle connections, a probe step uses only these and opens no
// other.
constexpr std::size_t min_idle_connections = 2;
// Once there are min_open_connections, one request in this many probes an
// upstream without a connection. Each such probe opens a connection, and which
// upstreams are slow changes before that connection would be used again.
constexpr std::uint32_t explore_one_in = 16;
// Replaces explore_one_in while there are newly usable upstreams, which would
// get no requests otherwise.
constexpr std::uint32_t explore_new_one_in = 4;

struct ranked {
    const probe_candidate* m_candidate;
    std::uint32_t m_tie_breaker;
};

bool by_novelty(const ranked& left, const ranked& right) {
    const auto key = [](const ranked& item) {
        const probe_candidate& from = *item.m_candidate;
        return std::tuple{from.m_suspect, !from.m_reserve, !from.m_newly_usable,
                          from.m_has_connection, item.m_tie_breaker};
    };
    return key(left) < key(right);
}

bool by_connection(const ranked& left, const ranked& right) {
    const auto key = [](const ranked& item) {
        return std::tuple{item.m_candidate->m_suspect,
                          !item.m_candidate->m_has_idle_connection,
                          item.m_tie_breaker};
    };
    return key(left) < key(right);
}

std::ptrdiff_t count_healthy(std::span<const ranked> list,
                             bool probe_candidate::*which) {
    return std::count_if(list.begin(), list.end(), [&](const ranked& item) {
        return !item.m_candidate->m_suspect && item.m_candidate->*which;
    });
}

bool explores(std::span<const ranked> list, random_source& random) {
    // There is a reserve only while room is scarce.
    if (count_healthy(list, &probe_candidate::m_reserve) > 0)
        return true;
    if (count_healthy(list, &probe_candidate::m_has_connection) <
        min_open_connections)
        return true;
    const bool has_new =
        count_healthy(list, &probe_candidate::m_newly_usable) > 0;
    return random(has_new ? explore_new_one_in : explore_one_in) == 0;
}

} // namespace

bool was_recently_full(const probe_candidate& candidate,
                       const probe_options& options) {
    return candidate.m_last_report &&
           !has_room(*candidate.m_last_report, options.m_room);
}

std::vector<upstream_id>
choose_probe_targets(std::span<const probe_candidate> candidates,
                     bool same_zone, const probe_options& options,
                     random_source& random) {
    std::vector<ranked> list;
    for (const probe_candidate& candidate : candidates)
        if (candidate.m_same_zone == same_zone &&
            (same_zone || candidate.m_zone_open) && !candidate.m_probed &&
            !candidate.m_report && !was_recently_full(candidate, options))
            list.push_back({&candidate, random()});
    std::vector<upstream_id> out;
    std::size_t count =
        std::min({list.size(), options.m_probe_budget, max_probes_per_step});
    if (count == 0)
        return out;
    const bool exploring = explores(list, random);
    if (exploring)
        std::iter_swap(list.begin(),
                       std::min_element(list.begin(), list.end(), by_novelty));
    std::sort(list.begin() + (exploring ? 1 : 0), list.end(), by_connection);
    const auto idle = static_cast<std::size_t>(
        count_healthy(list, &probe_candidate::m_has_idle_connection));
    if (!exploring && idle >= min_idle_connections)
        count = std::min(count, idle);
    for (std::size_t i = 0; i < count; ++i)
        out.push_back(list[i].m_candidate->m_upstream);
    return out;
}

} // namespace skylark::internal
