/*! @file
 *  Log-linear histogram of durations. No HDR histogram for C++ is packaged,
 *  and prometheus::Summary keeps no exact tail; this one keeps 1.6 %. */
#ifndef SKYLARK_CORE_HISTOGRAM_HPP
#define SKYLARK_CORE_HISTOGRAM_HPP

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>
#include <vector>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Counts of durations in buckets of 1/64 relative width. */
class histogram {
public:
    /*! @brief Adds one sample.
     *  @param sample duration; a negative one counts as zero */
    void add(duration sample) {
        const auto value = std::max<std::int64_t>(0, sample.count());
        const auto index = bucket_of(static_cast<std::uint64_t>(value));
        if (index >= m_buckets.size())
            m_buckets.resize(index + 1);
        ++m_buckets[index];
        ++m_count;
    }

    [[nodiscard]] std::uint64_t count() const { return m_count; }

    /*! @brief A quantile of the samples.
     *  @param q between 0 and 1
     *  @return lower edge of the bucket that holds it; zero when empty */
    [[nodiscard]] duration quantile(double q) const {
        const auto rank = static_cast<std::uint64_t>(
            std::ceil(q * static_cast<double>(m_count)));
        std::uint64_t seen = 0;
        for (std::size_t i = 0; i < m_buckets.size(); ++i) {
            seen += m_buckets[i];
            if (seen >= rank && seen > 0)
                return duration{static_cast<std::int64_t>(edge_of(i))};
        }
        return duration{0};
    }

    void clear() {
        m_buckets.clear();
        m_count = 0;
    }

private:
    static constexpr unsigned sub_bits = 6; // 64 buckets for each octave
    static constexpr std::uint64_t linear = 1ULL << sub_bits;

    static std::size_t bucket_of(std::uint64_t value) {
        if (value < linear)
            return value;
        const auto octave =
            static_cast<unsigned>(std::bit_width(value)) - 1 - sub_bits;
        return (octave << sub_bits) + (value >> octave);
    }

    static std::uint64_t edge_of(std::size_t index) {
        if (index < 2 * linear)
            return index;
        const auto octave = (index >> sub_bits) - 1;
        return ((index & (linear - 1)) + linear) << octave;
    }

    std::vector<std::uint64_t> m_buckets;
    // Invariant: the sum of all buckets.
    std::uint64_t m_count{};
};

} // namespace skylark

#endif
