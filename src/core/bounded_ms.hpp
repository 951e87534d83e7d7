// Time spans that other programs name in milliseconds.
#ifndef SKYLARK_CORE_BOUNDED_MS_HPP
#define SKYLARK_CORE_BOUNDED_MS_HPP

#include <algorithm>
#include <cstdint>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Converts a number of milliseconds from outside of this process, which
 *  may be any. What exceeds ten years becomes ten years, so that sums with
 *  times stay in range. */
constexpr duration bounded_ms(std::int64_t count) {
    constexpr duration longest = std::chrono::hours{24 * 365 * 10};
    constexpr std::int64_t limit = to_ms(longest);
    return milliseconds{std::clamp(count, -limit, limit)};
}

} // namespace skylark

#endif
