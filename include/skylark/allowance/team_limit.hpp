/*! @file
 *  Rate limit of one team, over all entries together. */
#ifndef SKYLARK_ALLOWANCE_TEAM_LIMIT_HPP
#define SKYLARK_ALLOWANCE_TEAM_LIMIT_HPP

#include <algorithm>
#include <cstdint>

#include <skylark/allowance/fwd.hpp>

namespace skylark {

/*! @brief Rate limit of one team. */
struct team_limit {
    std::uint64_t m_team{}; //!< hash of the team's name
    double m_rate{};        //!< requests a second, above 0
    double m_burst{};       //!< requests beyond the rate

    /*! @brief Requests in 5 s that the requirement tolerates beyond
     *  5 * rate + burst. */
    [[nodiscard]] double slack() const {
        constexpr double window_s = 5.0;
        constexpr double overshoot = 0.1;
        constexpr double constant = 20.0;
        return overshoot * (window_s * m_rate + m_burst) + constant;
    }

    /*! @brief Capacity of a bucket for a part of the limit; one whole token at
     *  least, else nothing could ever be lent. */
    [[nodiscard]] double capacity(double part) const {
        return std::max(1.0, m_burst * part);
    }

    /*! @brief Tokens that may be lent at once, out of the slack, while it is
     *  not known whether the former owner still lends. */
    [[nodiscard]] double interim_capacity() const {
        constexpr double slack_part = 0.3;
        return std::max(1.0, slack_part * slack());
    }

    bool operator==(const team_limit&) const = default;
};

} // namespace skylark

#endif
