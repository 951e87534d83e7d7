/*! @file
 *  Model of a service under load, in virtual time: upstreams, callers that
 *  return after a refusal, and entries that decide with the product's own
 *  functions. Plays loads and faults to see what callers get. */
#ifndef STANDIN_OVERLOAD_MODEL_HPP
#define STANDIN_OVERLOAD_MODEL_HPP

#include <cstdint>
#include <vector>

#include <skylark/core/time.hpp>

namespace standin {

/*! @brief What is played. Defaults: a service of 27 upstreams, a quarter of
 *  which is slow at any moment. */
struct overload_scenario {
    std::uint32_t m_entries{16};
    std::uint32_t m_upstreams{27};
    std::uint32_t m_slots{3};
    std::uint32_t m_queue{6}; //!< longer ones are never answered
    skylark::duration m_work{skylark::milliseconds{100}};
    double m_slow_share{0.25}; //!< of the upstreams, others each period
    double m_slow_factor{4.0};
    skylark::duration m_slow_period{skylark::milliseconds{300}};
    double m_saturation_slowdown{0.7}; //!< while all slots are in use
    double m_refuse_share{};           //!< of the requests, whatever the load
    std::uint32_t m_silent{};          //!< upstreams that lost power
    //! Upstreams that say that they are unhealthy and are well.
    std::uint32_t m_falsely_unhealthy{};
    //! Load as a multiple of bearable_rate(), outside and during the burst.
    double m_load{0.5};
    double m_burst_load{0.5};
    skylark::duration m_burst_begin{skylark::seconds{4}};
    skylark::duration m_burst_end{skylark::seconds{8}};
    skylark::duration m_length{skylark::seconds{12}};
    skylark::duration m_target{skylark::milliseconds{250}};
    skylark::duration m_deadline{skylark::seconds{2}}; //!< longest one chosen
    double m_deadline_spread{0.15};
    std::uint32_t m_returns{2}; //!< a caller returns after refusals
    std::uint64_t m_seed{1};
};

/*! @brief What the callers got that first asked within one second. */
struct overload_second {
    std::uint32_t m_asked{};
    std::uint32_t m_in_time{};
    std::uint32_t m_late{};
    std::uint32_t m_refused{}; //!< for good, or past the deadline
};

/*! @brief Outcome of a scenario. */
struct overload_result {
    std::vector<overload_second> m_seconds;
    //! Longest time that an entry held a request which it then refused.
    skylark::duration m_longest_hold{};
    std::vector<std::uint32_t> m_requests; //!< by upstream
    std::uint32_t m_hung{}; //!< sent to an upstream whose queue was full
};

/*! @brief Requests per second that the healthy upstreams of a scenario answer
 *  in time: the fast ones, with the slots that do not slow them down. */
double bearable_rate(const overload_scenario& from);

/*! @brief Plays a scenario; the same one gives the same result. */
overload_result play(const overload_scenario& from);

} // namespace standin

#endif
