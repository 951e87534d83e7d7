/*! @file
 *  Routing policies: small types that choose one of several candidates. */
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

/*! @brief Fewest own requests and penalties; ties go to the entry's own
 *  order of preference, so that entries rarely meet. */
struct preferred_least {
    std::size_t choose(std::span<const candidate> from, random_source&) const;
};

/*! @brief Fewest own requests, random ties. */
struct least_in_flight {
    std::size_t choose(std::span<const candidate> from,
                       random_source& random) const;
};

/*! @brief The better of two random candidates. */
struct two_choices {
    std::size_t choose(std::span<const candidate> from,
                       random_source& random) const;
};

/*! @brief One after the other. */
struct round_robin {
    std::size_t choose(std::span<const candidate> from, random_source&);

    std::size_t m_next{};
};

/*! @brief Any, with equal chance. */
struct uniform_random {
    std::size_t choose(std::span<const candidate> from,
                       random_source& random) const;
};

using policy = std::variant<preferred_least, least_in_flight, two_choices,
                            round_robin, uniform_random>;

/*! @brief Makes the policy of a name.
 *  @param name one of policy_names; an unknown one gives preferred_least */
policy make_policy(std::string_view name);

/*! @brief Chooses an upstream.
 *  @param how the policy, which may keep state
 *  @param from candidates
 *  @param random source of chance
 *  @return the chosen upstream, none when there is no candidate */
std::optional<upstream_id> choose(policy& how, std::span<const candidate> from,
                                  random_source& random);

} // namespace skylark

#endif
