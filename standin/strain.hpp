// How much longer work takes at a server that is nearly full or disturbed.
#ifndef STANDIN_STRAIN_HPP
#define STANDIN_STRAIN_HPP

#include <cstdint>

#include <skylark/core/random.hpp>
#include <skylark/core/time.hpp>

namespace standin {

/*! @brief Factors on work times: one near full, one in slow phases. */
struct strain {
    double m_knee{1.0}; //!< share of slots in use from which it is slower
    double m_knee_factor{1.0}; //!< then
    double m_slow_share{};     //!< share of phases that are slow
    double m_slow_factor{1.0}; //!< in these
    skylark::duration m_phase{skylark::milliseconds{500}};

    /*! @brief Draws the factor of a phase. */
    double draw_phase(skylark::random_source& random) const {
        constexpr std::uint32_t in_thousand = 1000;
        return random(in_thousand) < m_slow_share * in_thousand ? m_slow_factor
                                                                : 1.0;
    }

    /*! @brief Factor by the slots in use. */
    [[nodiscard]] double by_use(std::uint32_t used, std::uint32_t slots) const {
        return used >= m_knee * slots ? m_knee_factor : 1.0;
    }
};

} // namespace standin

#endif
