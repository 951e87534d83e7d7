/*! @file
 *  Hybrid logical clock: stamps that follow wall time and never fall behind a
 *  stamp observed from another process. */
#ifndef SKYLARK_EVENT_HYBRID_CLOCK_HPP
#define SKYLARK_EVENT_HYBRID_CLOCK_HPP

#include <algorithm>
#include <cstdint>

namespace skylark {

/*! @brief Produces stamps with milliseconds of wall time in the high 48 bits
 *  and a counter in the low 16, so that across all processes a cause has a
 *  lower stamp than its effects. */
class hybrid_clock {
public:
    static constexpr unsigned counter_bits = 16;

    /*! @brief Issues a new stamp.
     *  @param wall_ms wall time in milliseconds
     *  @return a stamp above all issued or observed before */
    std::uint64_t stamp(std::uint64_t wall_ms) {
        m_last = std::max(m_last + 1, wall_ms << counter_bits);
        return m_last;
    }

    /*! @brief Observes a stamp of another process.
     *  @param other stamp of the other process
     *  @param wall_ms wall time of this process in milliseconds
     *  @note A stamp more than a minute ahead of the wall time is ignored. */
    void observe(std::uint64_t other, std::uint64_t wall_ms) {
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
