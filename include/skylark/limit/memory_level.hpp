/*! @file
 *  Memory level: when the memory that a machine uses for a process passes half
 *  and three quarters of its own. */
#ifndef SKYLARK_LIMIT_MEMORY_LEVEL_HPP
#define SKYLARK_LIMIT_MEMORY_LEVEL_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Reports each crossing of a level once. */
class memory_level {
public:
    /*! @param machine its memory in bytes; 0: not known, nothing is reported */
    explicit memory_level(std::uint64_t machine) : m_machine{machine} {}

    /*! @brief Takes a reading.
     *  @param used bytes, of the process and of the kernel for it
     *  @return the level in percent if the reading has passed it upwards, the
     *  higher one if it has passed both */
    std::optional<int> step(std::uint64_t used) {
        const int reached = level(used);
        if (reached > m_level) {
            m_level = reached;
            return reached;
        }
        // Falling a little below a level and back is no crossing.
        m_level = std::min(m_level, level(used + m_machine / slack));
        return std::nullopt;
    }

private:
    static constexpr std::uint64_t slack = 20;

    [[nodiscard]] int level(std::uint64_t used) const {
        if (m_machine == 0)
            return 0;
        if (used > m_machine / 4 * 3)
            return 75;
        return used > m_machine / 2 ? 50 : 0;
    }

    std::uint64_t m_machine;
    int m_level{}; // that readings have to pass
};

} // namespace skylark

#endif
