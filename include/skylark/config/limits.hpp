/*! @file
 *  Budgets that hold for the whole deployment. */
#ifndef SKYLARK_CONFIG_LIMITS_HPP
#define SKYLARK_CONFIG_LIMITS_HPP

#include <cstddef>
#include <cstdint>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Budgets, with the names that the document uses. */
struct limits {
    //! Probes per second to one upstream.
    std::uint32_t m_probes_per_upstream{2};
    //! Probes per second to all upstreams, by all entries together.
    std::uint32_t m_probes_fleet{100};
    std::uint32_t m_retry_percent{10}; //!< retries per 100 requests
    //! Most retries a service can accumulate, by all entries together.
    std::uint32_t m_retry_burst{40};
    //! Whether a retry after an upstream's refusal uses the retry budget.
    bool m_refusals_count{false};
    std::uint32_t m_hedge_percent{5}; //!< hedges per 100 requests, when idle
    duration m_hedge_after{milliseconds{30}}; //!< shortest wait for a hedge
    //! Connections to one upstream, by all entries together.
    std::uint32_t m_connections_per_upstream{220};
    std::uint32_t m_queue_length{512};      //!< waiting requests per class
    std::uint32_t m_head_bytes{64U << 10U}; //!< header fields of one request
    std::uint32_t m_body_bytes{1U << 20U};  //!< body of one request
    duration m_idle{seconds{60}};           //!< longest idle caller connection

    bool operator==(const limits&) const = default;
};

} // namespace skylark

#endif
