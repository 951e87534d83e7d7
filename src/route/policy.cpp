// Routing policies: choice of the upstream that takes a request.
#include <skylark/route/policy.hpp>

#include <algorithm>
#include <tuple>

namespace skylark {

namespace internal {

static std::uint32_t assumed_load(const candidate& item) {
    return item.m_in_flight + item.m_penalty;
}

static std::size_t random_index(std::size_t count, random_source& random) {
    return random(static_cast<std::uint32_t>(count));
}

} // namespace internal

std::size_t preferred_least::choose(std::span<const candidate> candidates,
                                    random_source&) const {
    const auto key = [](const candidate& item) {
        return std::tuple{internal::assumed_load(item), item.m_preference};
    };
    const auto best =
        std::min_element(candidates.begin(), candidates.end(),
                         [&](const auto& left, const auto& right) {
                             return key(left) < key(right);
                         });
    return static_cast<std::size_t>(best - candidates.begin());
}

std::size_t least_in_flight::choose(std::span<const candidate> candidates,
                                    random_source& random) const {
    std::size_t best = 0;
    std::size_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].m_in_flight > candidates[best].m_in_flight)
            continue;
        if (candidates[i].m_in_flight < candidates[best].m_in_flight)
            ties = 0;
        ++ties;
        if (internal::random_index(ties, random) == 0)
            best = i;
    }
    return best;
}

std::size_t two_choices::choose(std::span<const candidate> candidates,
                                random_source& random) const {
    const std::size_t first = internal::random_index(candidates.size(), random);
    const std::size_t second =
        internal::random_index(candidates.size(), random);
    return internal::assumed_load(candidates[second]) <
                   internal::assumed_load(candidates[first])
               ? second
               : first;
}

std::size_t round_robin::choose(std::span<const candidate> candidates,
                                random_source&) {
    return m_next++ % candidates.size();
}

std::size_t uniform_random::choose(std::span<const candidate> candidates,
                                   random_source& random) const {
    return internal::random_index(candidates.size(), random);
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

std::optional<upstream_id> choose(policy& chooser,
                                  std::span<const candidate> candidates,
                                  random_source& random) {
    if (candidates.empty())
        return std::nullopt;
    const auto index = std::visit(
        [&](auto& alternative) {
            return alternative.choose(candidates, random);
        },
        chooser);
    return candidates[index].m_upstream;
}

} // namespace skylark
