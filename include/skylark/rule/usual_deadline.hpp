/*! @file
 *  Usual deadline: the deadline that most callers of a rule request.
 *
 *  A caller that retries after a refusal has less time left than on its first
 *  request; the difference to the usual deadline estimates how long it has
 *  waited. */
#ifndef SKYLARK_RULE_USUAL_DEADLINE_HPP
#define SKYLARK_RULE_USUAL_DEADLINE_HPP

#include <algorithm>
#include <cstdint>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Streaming majority vote (Boyer-Moore, with a bounded counter) over
 *  the deadlines that callers request. */
class usual_deadline {
public:
    /*! @brief Adds the deadline of a request to the vote.
     *  @param requested time until the deadline that the caller requested */
    void add(duration requested) {
        if (requested == m_value) {
            m_votes = std::min(m_votes + 1, max_votes);
            return;
        }
        if (m_votes > 0) {
            --m_votes;
            return;
        }
        m_value = requested;
        m_votes = 1;
    }

    /*! @brief Estimates how long a caller has waited before this request.
     *  @param requested time until the deadline that the caller requested
     *  @return the estimate; zero without a clear majority */
    [[nodiscard]] duration estimate_wait(duration requested) const {
        if (m_votes < min_votes)
            return duration{0};
        return std::max(duration{0}, m_value - requested);
    }

private:
    // Large enough that a burst of retrying callers does not outvote the
    // others, small enough that a new usual deadline wins within minutes.
    static constexpr std::uint32_t max_votes = 1000;
    static constexpr std::uint32_t min_votes = 8;

    duration m_value{};
    std::uint32_t m_votes{};
};

} // namespace skylark

#endif
