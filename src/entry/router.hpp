/*! @file
 *  Choice of the upstream for a request, by the routing policy of its service
 *  and within the limits of each upstream. */
#ifndef SKYLARK_ENTRY_ROUTER_HPP
#define SKYLARK_ENTRY_ROUTER_HPP

#include <map>
#include <optional>
#include <string>

#include <skylark/route/policy.hpp>
#include <skylark/route/probe_step.hpp>
#include <skylark/route/zone_share.hpp>

#include "entry/context.hpp"
#include "entry/request.hpp"

namespace skylark::entry {

/*! @brief A chosen upstream and the share that the attempt will use. */
struct route_choice {
    upstream_id m_upstream;
    std::optional<share_kind> m_share; //!< absent if none is needed
};

/*! @brief Reason why an upstream cannot take a request now. */
enum class exclusion : std::uint8_t {
    none,          //!< it can take the request
    unlisted,      //!< not in the instance list, or its record expired
    leaving,       //!< the instance list marks it as leaving
    said_leaving,  //!< it said that it leaves
    resting,       //!< it asked for a pause that is not over
    zone_inactive, //!< its zone is not declared or not active
    draining,      //!< it reports that it is draining
    cold,          //!< in cold start, for a service without shares
    unhealthy,     //!< its health check failed; not returned at present
    no_connection, //!< connection limit reached and none idle
    no_share       //!< this entry has no free share
};

/*! @brief Text of a reason in the answer to the explain command. */
std::string_view name_of(exclusion reason);

/*! @brief Applies the policy of a service to its upstreams that can take a
 *  request. */
class router {
public:
    router(context& shared, std::uint64_t seed)
        : m_shared{shared}, m_random{seed} {}

    /*! @brief Chooses an upstream that was not tried for the request yet.
     *  @param of request to send
     *  @param now current time
     *  @return the choice; nothing if all upstreams are excluded now */
    std::optional<route_choice> choose(const request& of, time_point now);

    /*! @brief Settings of the service of a request: those in force, or those
     *  under which it was admitted if its service is no longer configured.
     *  @return valid until the next configuration, and as long as the request
     */
    [[nodiscard]] const service& service_of(const request& of) const;

    /*! @brief Whether a service has an upstream that is listed, not leaving
     *  or resting, and in an active zone, whatever its present load. */
    bool has_eligible_upstream(std::string_view service);

    /*! @brief Whether this entry can serve a class of requests, at the latest
     *  after requests in flight have ended. If every upstream requires a share
     *  and this entry owns none, waiting here is useless and the caller should
     *  use another entry.
     *  @param of the service
     *  @param wanted class of the request */
    bool can_serve(const service& of, request_class wanted);

    /*! @brief Why an upstream cannot take a request now.
     *  @param candidate upstream to check
     *  @param of its service
     *  @param wanted class of the request
     *  @param now current time
     *  @param share set to the kind of share that the request needs, empty if
     *  it needs none; unchanged if a reason other than no_share excludes the
     *  upstream */
    exclusion exclusion_of(const upstream& candidate, const service& of,
                           request_class wanted, time_point now,
                           std::optional<share_kind>& share) const;

    /*! @brief Caller address of an active peer that owns a slot for a class of
     *  requests. Draws up to eight random slots, so that entries are chosen in
     *  proportion to their slots.
     *  @param of the service
     *  @param wanted class of the request
     *  @return the address; nothing if no draw found a peer */
    std::optional<address> random_slot_owner(const service& of,
                                             request_class wanted);

    /*! @brief Limit that applies to requests of a class on an upstream in a
     *  state; nothing if they need no share. */
    static std::optional<share_kind>
    share_for(const service& of, upstream_state state, request_class wanted);

    /*! @brief Number of slots per upstream under a limit, for all entries
     *  together. */
    static std::uint32_t limit_of(const service& of, share_kind kind);

    /*! @brief Upstreams that can take a request, for plan_probe_step().
     *  @param of request to send
     *  @param scarce whether room is scarce, so that doubtful upstreams are
     *  tried too
     *  @param now current time
     *  @param zones which zones its requests may go to, if these have a price
     */
    std::vector<probe_candidate> probe_candidates(const request& of,
                                                  bool scarce, time_point now,
                                                  const zone_share& zones);

    /*! @brief Zones with upstreams that can take a request; the views are valid
     *  until the upstreams change. */
    std::vector<zone_distance> usable_zones(const request& of, time_point now);

    /*! @brief Time until the first upstream of a service ends its cold start
     *  and its rest, in whole milliseconds.
     *  @return nothing if one can be used now, or if all leave */
    std::optional<duration> time_until_usable(std::string_view service,
                                              time_point now);

    random_source& random() { return m_random; }

    /*! @brief Connections that this entry may open to one upstream: an equal
     *  part of the fleet's limit, at least one. */
    [[nodiscard]] std::uint32_t connection_limit() const;

    /*! @brief Fraction of the slots of a service in use or queued for, by
     *  reports of the last second; 0 to 1, and 1 without such a report. */
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
    std::vector<candidate> m_candidates;            // reused buffer
};

} // namespace skylark::entry

#endif
