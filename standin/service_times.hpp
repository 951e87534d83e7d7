// Seeded service times of different shape.
#ifndef STANDIN_SERVICE_TIMES_HPP
#define STANDIN_SERVICE_TIMES_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <variant>

#include <skylark/core/random.hpp>
#include <skylark/core/time.hpp>

namespace standin {

/*! @brief Exponentially distributed times. */
struct exponential_times {
    skylark::duration m_mean{};

    skylark::duration draw(skylark::random_source& random) const {
        std::exponential_distribution<double> spread{1.0};
        return skylark::duration{
            std::llround(static_cast<double>(m_mean.count()) * spread(random))};
    }
};

/*! @brief Pareto-distributed times: most are short, few very long. */
struct heavy_tail_times {
    skylark::duration m_shortest{};
    skylark::duration m_longest{};
    double m_exponent{1.2};

    skylark::duration draw(skylark::random_source& random) const {
        std::uniform_real_distribution<double> part{0.0, 1.0};
        const double factor = std::pow(1.0 - part(random), -1.0 / m_exponent);
        const double us = static_cast<double>(m_shortest.count()) * factor;
        return skylark::duration{
            std::llround(std::min(us, static_cast<double>(m_longest.count())))};
    }
};

/*! @brief Times spread about a mean, as a log-normal distribution. */
struct spread_times {
    skylark::duration m_mean{};
    double m_spread{}; // standard deviation of the logarithm

    skylark::duration draw(skylark::random_source& random) const {
        std::normal_distribution<double> place{-m_spread * m_spread / 2,
                                               m_spread};
        return skylark::duration{
            std::llround(static_cast<double>(m_mean.count()) *
                         std::exp(m_spread > 0 ? place(random) : 0.0))};
    }
};

using service_times =
    std::variant<exponential_times, heavy_tail_times, spread_times>;

/*! @brief Draws the time that a request takes. */
inline skylark::duration draw(const service_times& from,
                              skylark::random_source& random) {
    return std::visit([&](const auto& shape) { return shape.draw(random); },
                      from);
}

} // namespace standin

#endif
