/*! @file
 *  Decisions on requests of teams that have a rate limit. */
#ifndef SKYLARK_ALLOWANCE_DECISION_HPP
#define SKYLARK_ALLOWANCE_DECISION_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <skylark/allowance/message.hpp>

namespace skylark {

/*! @brief What becomes of a request. */
enum class allowance_verdict : std::uint8_t { granted, refused, waiting };

/*! @brief What happened to a team in an entry; counts since its start. */
struct allowance_counts {
    std::uint64_t m_granted{};
    std::uint64_t m_refused{};
    std::uint64_t m_asked{}; //!< questions sent, retries included
    std::size_t m_waiting{}; //!< requests that wait now
};

/*! @brief A waiting request that was decided on. */
struct allowance_decision {
    std::uint64_t m_request{};
    bool m_granted{};
    duration m_retry_after{}; //!< if not granted
};

/*! @brief What a call leads to. */
struct allowance_steps {
    std::vector<outgoing_allowance> m_send;
    std::vector<allowance_decision> m_decided;
};

} // namespace skylark

#endif
