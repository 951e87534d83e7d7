/*! @file
 *  Plan: the share of requests that goes to the target version, and what is to
 *  be recorded next. */
#ifndef SKYLARK_ROLLOUT_PLAN_HPP
#define SKYLARK_ROLLOUT_PLAN_HPP

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/rollout/judge.hpp>

namespace skylark {

/*! @brief How requests are divided between the versions now. */
struct traffic_plan {
    double m_target_share{}; //!< probability for a new request
    bool m_earlier_allowed{true};
    bool m_target_allowed{};
};

/*! @brief Divides the requests.
 *  @param stage as recorded
 *  @param verdict of this entry
 *  @param sums of all entries
 *  @param times since the order */
traffic_plan plan_traffic(rollout_stage stage, rollout_verdict verdict,
                          const exposure& sums, const rollout_times& times);

/*! @brief What the next record depends on. */
struct write_facts {
    rollout_stage m_stage{};
    rollout_verdict m_verdict{};
    rollout_times m_times;
    //! No entry sends to the earlier version, or has a request there.
    bool m_earlier_drained{};
    bool m_target_usable{true}; //!< at least one upstream of it is
};

/*! @brief Stage to record next.
 *  @return none if nothing is to be recorded now */
std::optional<rollout_stage> plan_write(const write_facts& facts);

/*! @brief Number of target upstreams that take the canary's requests, so that
 *  each has the load of an ordinary upstream.
 *  @param earlier usable upstreams of the earlier version
 *  @param target usable upstreams of the target version */
std::size_t canary_count(std::size_t earlier, std::size_t target);

/*! @brief Upstreams that take the canary's requests; all entries choose the
 *  same ones.
 *  @param order see order_key()
 *  @param usable usable upstreams of the target version
 *  @param count see canary_count() */
std::vector<upstream_id> choose_canaries(std::uint64_t order,
                                         std::span<const upstream_id> usable,
                                         std::size_t count);

} // namespace skylark

#endif
