// Routing policies.
#include <skylark/route/policy.hpp>

#include <algorithm>
#include <tuple>

namespace skylark {

namespace internal {

static std::uint32_t assumed(const candidate& of) {
    return of.m_in_flight + of.m_penalty;
}

static std::size_t any(std::size_t count, random_source& random) {
    return random(static_cast<std::uint32_t>(count));
}

} // namespace internal

std::size_t preferred_least::choose(std::span<const candidate> from,
                                    random_source&) const {
    const auto key = [](const candidate& of) {
        return std::tuple{internal::assumed(of), of.m_preference};
    };
    const auto best = std::min_element(
        from.begin(), from.end(), [&](const auto& left, const auto& right) {
            return key(left) < key(right);
        });
    return static_cast<std::size_t>(best - from.begin());
}

std::size_t least_in_flight::choose(std::span<const candidate> from,
                                    random_source& random) const {
    std::size_t best = 0;
    std::size_t ties = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
        if (from[i].m_in_flight > from[best].m_in_flight)
            continue;
        if (from[i].m_in_flight < from[best].m_in_flight)
            ties = 0;
        ++ties;
        if (internal::any(ties, random) == 0)
            best = i;
    }
    return best;
}

std::size_t two_choices::choose(std::span<const candidate> from,
                                random_source& random) const {
    const std::size_t first = internal::any(from.size(), random);
    const std::size_t second = internal::any(from.size(), random);
    return internal::assumed(from[second]) < internal::assumed(from[first])
               ? second
               : first;
}

std::size_t round_robin::choose(std::span<const candidate> from,
                                random_source&) {
    return m_next++ % from.size();
}

std::size_t uniform_random::choose(std::span<const candidate> from,
                                   random_source& random) const {
    return internal::any(from.size(), random);
}

policy make_policy(std::string_view name) {
    if (name == "least_in_flight")
        return least_in_flight{};
    if (name == "two_choices")
        return two_choices{};
    if (name == "round_robin")
        return round_robin{};
    if (name == "random")
        return uniform_random{};
    return preferred_least{};
}

std::optional<upstream_id> choose(policy& how, std::span<const candidate> from,
                                  random_source& random) {
    if (from.empty())
        return std::nullopt;
    const auto index = std::visit(
        [&](auto& chosen) { return chosen.choose(from, random); }, how);
    return from[index].m_upstream;
}

} // namespace skylark
