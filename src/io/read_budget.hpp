// How much input a connection may take when many have some.
#ifndef SKYLARK_IO_READ_BUDGET_HPP
#define SKYLARK_IO_READ_BUDGET_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include <skylark/core/time.hpp>

namespace skylark::io {

/*! @brief Bounds the time that one iteration of the loop spends on input, so
 *  that it does not last longer with each connection that has some.
 *
 *  The budget is one of time: input in tiny chunks takes far more of it for
 *  each byte than plain bodies. Reads no clock. */
class read_budget {
public:
    //! Time from which on connections take the least part.
    static constexpr duration iteration_time = milliseconds{5};
    //! A read costs a system call, so smaller parts save little.
    static constexpr std::size_t least_bytes{std::size_t{1} << 10U};

    /*! @brief Called before each read.
     *  @param iteration number of the loop's iteration
     *  @param most bytes of a read within the budget
     *  @return maximum bytes to read */
    std::size_t next(std::uint64_t iteration, std::size_t most) {
        if (iteration != m_iteration) {
            m_iteration = iteration;
            m_spent = duration{0};
        }
        return m_spent < iteration_time ? most : std::min(most, least_bytes);
    }

    /*! @brief Called after the input was processed. */
    void add(duration spent) { m_spent += spent; }

private:
    std::uint64_t m_iteration{};
    duration m_spent{}; // in that iteration
};

} // namespace skylark::io

#endif
