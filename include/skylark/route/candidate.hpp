/*! @file
 *  Candidate: one upstream as the routing policies see it. */
#ifndef SKYLARK_ROUTE_CANDIDATE_HPP
#define SKYLARK_ROUTE_CANDIDATE_HPP

#include <cstdint>

#include <skylark/core/id.hpp>

namespace skylark {

/*! @brief An upstream that may take the request. */
struct candidate {
    upstream_id m_upstream;
    std::uint32_t m_in_flight{};  //!< this entry's own requests
    std::uint32_t m_penalty{};    //!< requests to assume besides
    std::uint32_t m_preference{}; //!< position in this entry's own order
};

} // namespace skylark

#endif
