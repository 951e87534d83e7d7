/*! @file
 *  Monotonic time as a value: decisions take it as an argument. */
#ifndef SKYLARK_CORE_TIME_HPP
#define SKYLARK_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace skylark {

/*! @brief Length of time in microseconds. */
using duration = std::chrono::microseconds;

/*! @brief Clock type of the project's time points; never read directly, the
 *  event loop and the tests supply the readings. */
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

/*! @brief Whole milliseconds of a duration.
 *  @param length duration to convert
 *  @return milliseconds, rounded towards zero */
constexpr std::int64_t to_ms(duration length) {
    return std::chrono::duration_cast<milliseconds>(length).count();
}

} // namespace skylark

#endif
