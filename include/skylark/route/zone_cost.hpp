/*! @file
 *  Cost of a request that stays in its zone and of one that leaves it, in
 *  milliseconds of response time. Pure functions. */
#ifndef SKYLARK_ROUTE_ZONE_COST_HPP
#define SKYLARK_ROUTE_ZONE_COST_HPP

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What a request pays on its way to an upstream. */
struct zone_terms {
    //! Price of the traffic of one request to another zone, as the response
    //! time that is worth as much.
    duration m_price{};
    //! Cost of a request that finds no room and is refused: its target.
    duration m_loss{};
    //! Time that a step of probes without an answer takes in the own zone.
    duration m_own_step{};
    //! Whether the own zone has upstreams that may take the request at all.
    bool m_own_usable{true};
};

/*! @brief Another zone, as seen from this one. */
struct zone_path {
    duration m_step{};       //!< time of a step of probes without an answer
    duration m_round_trip{}; //!< of a request
    double m_room{};         //!< share of the upstreams with room, 0 to 1
};

/*! @brief Expected cost of a request that goes to another zone directly, with
 *  two steps of probes there.
 *  @param terms of the request
 *  @param to the zone */
double cost_of_leaving(const zone_terms& terms, const zone_path& to);

/*! @brief Expected cost of a request that probes its own zone in two steps, and
 *  another zone in one step after that.
 *  @param terms of the request
 *  @param own_room share of the own zone's upstreams with room, 0 to 1
 *  @param other zone to which it goes then; nullptr if there is none */
double cost_of_staying(const zone_terms& terms, double own_room,
                       const zone_path* other);

} // namespace skylark

#endif
