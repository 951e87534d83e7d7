/*! @file
 *  Hybrid logical clock: wall time that never runs behind what it has seen. */
#ifndef SKYLARK_EVENT_HYBRID_CLOCK_HPP
#define SKYLARK_EVENT_HYBRID_CLOCK_HPP

#include <algorithm>
#include <cstdint>

namespace skylark {

/*! @brief Milliseconds of wall time in the high 48 bits, a counter in the low
 *  16, so that stamps order causes before effects over all processes. */
class hybrid_clock {
public:
    static constexpr unsigned counter_bits = 16;

    /*! @brief A new stamp.
     *  @param wall_ms wall time in milliseconds
     *  @return larger than every stamp given or seen before */
    std::uint64_t stamp(std::uint64_t wall_ms) {
        m_last = std::max(m_last + 1, wall_ms << counter_bits);
        return m_last;
    }

    /*! @brief A stamp of another process has been seen.
     *  @note One more than a minute ahead of the wall time is ignored. */
    void seen(std::uint64_t other, std::uint64_t wall_ms) {
        constexpr std::uint64_t tolerance_ms = 60'000;
        if ((other >> counter_bits) <= wall_ms + tolerance_ms)
            m_last = std::max(m_last, other);
    }

    [[nodiscard]] std::uint64_t last() const { return m_last; }

private:
    std::uint64_t m_last{};
};

} // namespace skylark

#endif
