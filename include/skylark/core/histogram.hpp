/*! @file
 *  Log-linear histogram of durations with a relative error of at most 1.6 %.
 *  No HDR histogram for C++ is packaged, and prometheus::Summary has no exact
 *  tail quantiles. */
#ifndef SKYLARK_CORE_HISTOGRAM_HPP
#define SKYLARK_CORE_HISTOGRAM_HPP

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <vector>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Counts durations in buckets of at most 1/64 relative width; below
 *  128 us each bucket is 1 us wide. */
class histogram {
public:
    /*! @brief Adds one sample.
     *  @param sample duration; a negative value counts as zero */
    void add(duration sample) {
        const auto value = std::max<std::int64_t>(0, sample.count());
        const auto index = bucket_of(static_cast<std::uint64_t>(value));
        if (index >= m_buckets.size())
            m_buckets.resize(index + 1);
        ++m_buckets[index];
        ++m_count;
    }

    [[nodiscard]] std::uint64_t count() const { return m_count; }

    /*! @brief Quantile of the samples.
     *  @param q between 0 and 1
     *  @return lower bound of the bucket that holds it; zero if empty */
    [[nodiscard]] duration quantile(double q) const {
        const auto rank = static_cast<std::uint64_t>(
            std::ceil(q * static_cast<double>(m_count)));
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < m_buckets.size(); ++i) {
            cumulative += m_buckets[i];
            if (cumulative >= rank && cumulative > 0)
                return duration{static_cast<std::int64_t>(lower_bound_of(i))};
        }
        return duration{0};
    }

    void clear() {
        m_buckets.clear();
        m_count = 0;
    }

private:
    static constexpr unsigned sub_bits = 6; // 64 buckets per octave
    static constexpr std::uint64_t linear_limit = 1ULL << sub_bits;

    static std::size_t bucket_of(std::uint64_t value) {
        if (value < linear_limit)
            return value;
        const auto octave =
            static_cast<unsigned>(std::bit_width(value)) - 1 - sub_bits;
        return (octave << sub_bits) + (value >> octave);
    }

    static std::uint64_t lower_bound_of(std::size_t index) {
        if (index < 2 * linear_limit)
            return index;
        const auto octave = (index >> sub_bits) - 1;
        return ((index & (linear_limit - 1)) + linear_limit) << octave;
    }

    std::vector<std::uint64_t> m_buckets;
    // Invariant: the sum of all buckets.
    std::uint64_t m_count{};
};

} // namespace skylark

#endif
