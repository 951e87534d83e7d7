/*! @file
 *  Routing policies: each chooses one of several candidates. The choose()
 *  members return an index into a span that must not be empty. */
#ifndef SKYLARK_ROUTE_POLICY_HPP
#define SKYLARK_ROUTE_POLICY_HPP

#include <optional>
#include <span>
#include <string_view>
#include <variant>

#include <skylark/core/random.hpp>
#include <skylark/route/candidate.hpp>
#include <skylark/route/policy_name.hpp>

namespace skylark {

/*! @brief Least sum of this entry's requests in flight and penalty. Ties go to
 *  this entry's own order of preference, so that different entries rarely
 *  choose the same upstream. */
struct preferred_least {
    std::size_t choose(std::span<const candidate> candidates,
                       random_source&) const;
};

/*! @brief Fewest requests of this entry in flight; ties are broken at random.
 *  Ignores penalties. */
struct least_in_flight {
    std::size_t choose(std::span<const candidate> candidates,
                       random_source& random) const;
};

/*! @brief Of two random candidates, the one with the lower sum of requests in
 *  flight and penalty. */
struct two_choices {
    std::size_t choose(std::span<const candidate> candidates,
                       random_source& random) const;
};

/*! @brief Candidates in turn, by their position in the span. */
struct round_robin {
    std::size_t choose(std::span<const candidate> candidates, random_source&);

    std::size_t m_next{};
};

/*! @brief A uniformly random candidate. */
struct uniform_random {
    std::size_t choose(std::span<const candidate> candidates,
                       random_source& random) const;
};

using policy = std::variant<preferred_least, least_in_flight, two_choices,
                            round_robin, uniform_random>;

/*! @brief Creates a policy by name.
 *  @param name one of policy_names; an unknown name gives preferred_least */
policy make_policy(std::string_view name);

/*! @brief Chooses an upstream.
 *  @param chooser policy to apply; its state is updated
 *  @param candidates upstreams to choose candidates
 *  @param random random number source
 *  @return the chosen upstream, or nothing if there are no candidates */
std::optional<upstream_id> choose(policy& chooser,
                                  std::span<const candidate> candidates,
                                  random_source& random);

} // namespace skylark

#endif
