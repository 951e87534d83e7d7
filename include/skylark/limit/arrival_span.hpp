/*! @file
 *  Arrival span: how long a request may have waited for the process to read it.
 *
 *  Input that is read behind a pause of the process may have come at any time
 *  during it. The kernel tells when it came; without its word only the length
 *  of the pause bounds the wait. */
#ifndef SKYLARK_LIMIT_ARRIVAL_SPAN_HPP
#define SKYLARK_LIMIT_ARRIVAL_SPAN_HPP

#include <algorithm>
#include <optional>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Bounds of the time that a request waited for the process. */
struct arrival_span {
    duration m_least;   //!< what is certain
    duration m_longest; //!< not below m_least

    /*! @brief Bounds for a request that is read now.
     *  @param pause length of the pause that ended just now, or zero
     *  @param since_input time since the kernel got its last bytes, none if
     *  the kernel does not tell */
    static constexpr arrival_span behind(duration pause,
                                         std::optional<duration> since_input) {
        if (!since_input)
            return {duration{0}, pause};
        const duration longest = std::clamp(*since_input, duration{0}, pause);
        return {std::max(longest - clock_step, duration{0}), longest};
    }

private:
    // The kernel counts in ticks of its timer, the longest of which is 10 ms.
    static constexpr duration clock_step = milliseconds{10};
};

} // namespace skylark

#endif
