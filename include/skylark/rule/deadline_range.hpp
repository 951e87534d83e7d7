/*! @file
 *  Deadline range: the shortest deadline with which callers of a rule make a
 *  new request.
 *
 *  A caller that returns after a refusal has less time left than when it first
 *  asked. Callers choose different deadlines, so only a deadline below those of
 *  new requests shows that the caller has waited, and by how much at least. */
#ifndef SKYLARK_RULE_DEADLINE_RANGE_HPP
#define SKYLARK_RULE_DEADLINE_RANGE_HPP

#include <algorithm>
#include <array>
#include <cstddef>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Learns the range from the last requests while none is refused, when
 *  nearly all of them are new. */
class deadline_range {
public:
    /*! @brief Adds the deadline of a request.
     *  @param requested time until the deadline that the caller requested
     *  @note Call it only while requests are not being refused. */
    void add(duration requested) {
        m_samples[m_added++ % sample_count] = requested;
        if (m_added % update_period == 0)
            update();
    }

    /*! @brief Shortest time that a caller has waited before this request.
     *  @param requested time until the deadline that the caller requested
     *  @return the time; zero if the request may be new */
    [[nodiscard]] duration least_wait(duration requested) const {
        return std::max(duration{0}, m_shortest - requested);
    }

private:
    static constexpr std::size_t sample_count = 64;
    static constexpr std::size_t update_period = 16;
    // Part of the samples taken for returning callers, whose answer was lost.
    static constexpr std::size_t returning_one_in = 20;

    void update() {
        std::array<duration, sample_count> sorted = m_samples;
        const std::size_t known = std::min(m_added, sample_count);
        auto* nth = sorted.begin() + known / returning_one_in;
        std::nth_element(sorted.begin(), nth, sorted.begin() + known);
        m_shortest = *nth;
    }

    std::array<duration, sample_count> m_samples{};
    std::size_t m_added{};
    duration m_shortest{}; // 0: not known yet
};

} // namespace skylark

#endif
