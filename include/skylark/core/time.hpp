/*! @file
 *  Types for monotonic time. Decision modules do not read a clock; they take
 *  the current time as an argument. */
#ifndef SKYLARK_CORE_TIME_HPP
#define SKYLARK_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace skylark {

/*! @brief Time span in microseconds. */
using duration = std::chrono::microseconds;

/*! @brief Clock type of the project's time points. It has no now(): the event
 *  loop and the tests supply the current time. */
struct monotonic {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/*! @brief Converts a duration to whole milliseconds, rounded towards zero. */
constexpr std::int64_t to_ms(duration value) {
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace skylark

#endif
