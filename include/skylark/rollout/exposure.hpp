/*! @file
 *  Exposure: what one entry, or all of them together, sent to the versions of
 *  a service during a roll-out, and how the versions responded. */
#ifndef SKYLARK_ROLLOUT_EXPOSURE_HPP
#define SKYLARK_ROLLOUT_EXPOSURE_HPP

#include <cstdint>
#include <string_view>
#include <vector>

#include <skylark/config/rollout_order.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Responses of one version on one route. */
struct version_counts {
    std::uint64_t m_responses{}; //!< attempts that ended, bad ones included
    std::uint64_t m_failures{};  //!< of those, failed or incomplete ones
    std::uint64_t m_slow{};      //!< of the others, the slow ones
    std::uint64_t m_timed{};     //!< responses whose time is in m_time_us
    //! Sum of their times in microseconds, each divided by the slowdown that
    //! the upstream reported.
    std::uint64_t m_time_us{};

    [[nodiscard]] std::uint64_t bad() const { return m_failures + m_slow; }

    bool operator==(const version_counts&) const = default;
};

/*! @brief Responses of both versions on one route. */
struct route_exposure {
    std::uint32_t m_route{}; //!< see route_key()
    version_counts m_target;
    version_counts m_earlier;

    bool operator==(const route_exposure&) const = default;
};

/*! @brief Cumulative counts of one roll-out order. Counts only rise; the state
 *  of the reporting entry is valid at the time of the report. */
struct exposure {
    std::uint64_t m_order{};    //!< see order_key()
    std::uint64_t m_sequence{}; //!< rises with each report of an entry
    duration m_elapsed{};       //!< since the order, as the entry knows it
    bool m_bad{};               //!< the entry has found the version bad
    //! The entry sends nothing more to the earlier version.
    bool m_earlier_closed{};
    std::uint64_t m_earlier_in_progress{};
    std::uint64_t m_requests{};        //!< of the service
    std::uint64_t m_target_requests{}; //!< attempts at the target version
    //! Target upstreams with bad responses; bit = hash of the upstream % 64.
    std::uint64_t m_bad_upstreams{};
    std::vector<route_exposure> m_routes; //!< by rising m_route, each once

    bool operator==(const exposure&) const = default;

    /*! @brief The counts of a route, which are added if they are missing. */
    route_exposure& on_route(std::uint32_t route);

    /*! @brief The counts of a route; nullptr if there are none. */
    [[nodiscard]] const route_exposure* find_route(std::uint32_t route) const;

    /*! @brief Number of bad responses of the target version. */
    [[nodiscard]] std::uint64_t target_bad() const;

    /*! @brief Number of responses of the target version. */
    [[nodiscard]] std::uint64_t target_responses() const;
};

/*! @brief Identifies an order; all entries compute the same key. */
std::uint64_t order_key(const rollout_order& of);

/*! @brief Identifies a route by its rule's name. */
std::uint32_t route_key(std::string_view rule);

/*! @brief Adds the counts of another entry. */
void add(exposure& to, const exposure& from);

/*! @brief Raises each count to that of another sum over the same entries. Both
 *  are lower bounds of the true sum, so the result is one too. */
void raise(exposure& to, const exposure& from);

/*! @brief Counts since an earlier sum. */
exposure since(const exposure& now, const exposure& before);

/*! @brief Mean time of the earlier version on a route, of an upstream at its
 *  normal speed.
 *  @return zero while too few responses are known */
duration earlier_time(const exposure& sums, std::uint32_t route);

/*! @brief Whether a response counts as slow.
 *  @param normalized its time divided by the upstream's slowdown
 *  @param reference see earlier_time() */
bool is_slow(duration normalized, duration reference);

} // namespace skylark

#endif
