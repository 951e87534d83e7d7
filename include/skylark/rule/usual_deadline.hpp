/*! @file
 *  Usual deadline: the time that most callers of a rule give a request.
 *
 *  A caller that comes back after a refusal has less time left than it had at
 *  first; the difference to the usual deadline tells how long it has waited. */
#ifndef SKYLARK_RULE_USUAL_DEADLINE_HPP
#define SKYLARK_RULE_USUAL_DEADLINE_HPP

#include <algorithm>
#include <cstdint>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Majority vote over the deadlines that callers ask for. */
class usual_deadline {
public:
    /*! @brief A request has arrived.
     *  @param asked deadline that the caller asked for */
    void seen(duration asked) {
        if (asked == m_value) {
            m_votes = std::min(m_votes + 1, most_votes);
            return;
        }
        if (m_votes > 0) {
            --m_votes;
            return;
        }
        m_value = asked;
        m_votes = 1;
    }

    /*! @brief Time that a caller has waited before this request.
     *  @param asked deadline that it asked for
     *  @return zero without a clear majority */
    [[nodiscard]] duration waited(duration asked) const {
        if (m_votes < least_votes)
            return duration{0};
        return std::max(duration{0}, m_value - asked);
    }

private:
    // Enough that a crowd of returning callers does not outvote the others,
    // few enough that a new deadline is learnt within minutes.
    static constexpr std::uint32_t most_votes = 1000;
    static constexpr std::uint32_t least_votes = 8;

    duration m_value{};
    std::uint32_t m_votes{};
};

} // namespace skylark

#endif
