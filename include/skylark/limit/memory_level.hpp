/*! @file
 *  Memory level: when the resident memory of a process passes half and three
 *  quarters of its machine's. */
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
     *  @param resident memory of the process, in bytes
     *  @return the level in percent if the reading has passed it upwards, the
     *  higher one if it has passed both */
    std::optional<int> step(std::uint64_t resident) {
        const int reached = level(resident);
        if (reached > m_level) {
            m_level = reached;
            return reached;
        }
        // Falling a little below a level and back is no crossing.
        m_level = std::min(m_level, level(resident + m_machine / slack));
        return std::nullopt;
    }

private:
    static constexpr std::uint64_t slack = 20;

    [[nodiscard]] int level(std::uint64_t resident) const {
        if (m_machine == 0)
            return 0;
        if (resident > m_machine / 4 * 3)
            return 75;
        return resident > m_machine / 2 ? 50 : 0;
    }

    std::uint64_t m_machine;
    int m_level{}; // that readings have to pass
};

} // namespace skylark

#endif
