// Chooses the upstream of a request, within all limits.
#ifndef SKYLARK_ENTRY_ROUTER_HPP
#define SKYLARK_ENTRY_ROUTER_HPP

#include <map>
#include <optional>
#include <string>

#include <skylark/route/policy.hpp>
#include <skylark/route/probe_step.hpp>

#include "entry/context.hpp"
#include "entry/request.hpp"

namespace skylark::entry {

/*! @brief A chosen upstream, with the share that the attempt will occupy. */
struct route_choice {
    upstream_id m_upstream;
    std::optional<share_kind> m_share;
};

/*! @brief Why an upstream may not take a request now. */
enum class exclusion : std::uint8_t {
    none,
    unlisted,
    leaving,
    zone_out,
    draining,
    cold,
    unhealthy,
    no_connection,
    no_share
};

/*! @brief Name of a reason, for explain. */
std::string_view name_of(exclusion why);

/*! @brief Applies the service's policy to the upstreams that may be used. */
class router {
public:
    router(context& shared, std::uint64_t seed)
        : m_shared{shared}, m_random{seed} {}

    /*! @brief Chooses an upstream.
     *  @param of the request
     *  @param now the present
     *  @return the choice, none when all are excluded for now */
    std::optional<route_choice> choose(const request& of, time_point now);

    /*! @brief Whether any upstream could take work of the service at some
     *  time, going by list and zones. */
    bool serves(std::string_view service);

    /*! @brief Whether this entry could serve a class of work once others of
     *  its requests have ended. If every upstream needs a share and this entry
     *  owns none, the work is better off at another entry at once. */
    bool may_serve(std::string_view service, request_class wanted);

    /*! @brief Why an upstream is excluded now, and the share it would need.
     *  @param share gets the kind, none when no share is needed */
    exclusion excluded(const upstream& candidate, const service& of,
                       request_class wanted, time_point now,
                       std::optional<share_kind>& share) const;

    /*! @brief Callers' address of another entry that owns a slot for a class
     *  of work, chosen by chance over all slots; none when none is found. */
    std::optional<address> other_owner(std::string_view service,
                                       request_class wanted);

    /*! @brief The limit that work of a class falls under on an upstream in
     *  that state; none when it needs no share. */
    static std::optional<share_kind>
    share_for(const service& of, upstream_state state, request_class wanted);

    /*! @brief Slots of a limit as the document gives them. */
    static std::uint32_t limit_of(const service& of, share_kind kind);

    /*! @brief The upstreams that may take a request, for the ask plan.
     *  @param of the request
     *  @param now the present */
    std::vector<probe_candidate> ask_candidates(const request& of,
                                                time_point now);

    /*! @brief Time until an upstream of a service ends its cold start.
     *  @return none when none of them is cold */
    std::optional<duration> first_warm(std::string_view service,
                                       time_point now);

    random_source& random() { return m_random; }

    /*! @brief Connections that this entry may hold to one upstream. */
    [[nodiscard]] std::uint32_t connection_limit() const;

    /*! @brief Part of the slots in use, going by recent reports; 0 to 1. */
    double utilization(std::string_view service, time_point now);

private:
    policy& policy_of(const service& of);

    struct named_policy {
        std::string m_name;
        policy m_policy;
    };

    context& m_shared;
    random_source m_random;
    std::map<std::string, named_policy> m_policies; // by service
    std::vector<candidate> m_candidates;            // scratch
};

} // namespace skylark::entry

#endif
