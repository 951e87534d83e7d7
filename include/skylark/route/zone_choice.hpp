/*! @file
 *  Zone choice: in which zones one request looks for an upstream. */
#ifndef SKYLARK_ROUTE_ZONE_CHOICE_HPP
#define SKYLARK_ROUTE_ZONE_CHOICE_HPP

namespace skylark {

/*! @brief Zones that one request uses. The default is the own zone, then all
 *  others, without regard to their price. */
struct zone_choice {
    bool m_priced{};    //!< traffic between zones has a price
    bool m_leaves{};    //!< goes to other zones directly
    bool m_own_short{}; //!< the own zone gets one step of probes at most
    //! Cost of another zone, as a multiple of the usual time of one request.
    //! The default: an answer crosses zones twice, and the traffic is billed.
    double m_penalty{0.25};
};

} // namespace skylark

#endif
