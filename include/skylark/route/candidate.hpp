/*! @file
 *  Candidate: state of one upstream that the routing policies use. */
#ifndef SKYLARK_ROUTE_CANDIDATE_HPP
#define SKYLARK_ROUTE_CANDIDATE_HPP

#include <cstdint>

#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief An upstream that may take the request. */
struct candidate {
    upstream_id m_upstream;
    std::uint32_t m_in_flight{};  //!< requests of this entry only
    std::uint32_t m_penalty{};    //!< added to m_in_flight, in requests
    std::uint32_t m_preference{}; //!< rank in this entry's order; lowest first
};

} // namespace skylark

#endif
