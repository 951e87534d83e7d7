/*! @file
 *  Split: which of several services takes the next request of a rule. */
#ifndef SKYLARK_RULE_SPLIT_HPP
#define SKYLARK_RULE_SPLIT_HPP

#include <cstdint>
#include <span>
#include <vector>

#include <skylark/config/rule.hpp>

namespace skylark {

/*! @brief Smooth weighted round robin: each part's count stays within one of
 *  its share after every request, so that short windows keep the weights. */
class split_cursor {
public:
    /*! @brief Chooses a part.
     *  @param parts services with their weights
     *  @return index of the part; 0 when all weights are 0 */
    std::size_t next(std::span<const weighted_service> parts) {
        if (!matches(parts))
            reset(parts);
        std::int64_t sum = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            sum += m_weights[i];
            m_credit[i] += m_weights[i];
            if (m_credit[i] > m_credit[best])
                best = i;
        }
        m_credit[best] -= sum;
        return best;
    }

private:
    [[nodiscard]] bool matches(std::span<const weighted_service> parts) const {
        if (parts.size() != m_weights.size())
            return false;
        for (std::size_t i = 0; i < parts.size(); ++i)
            if (m_weights[i] != parts[i].m_weight)
                return false;
        return true;
    }

    void reset(std::span<const weighted_service> parts) {
        m_weights.clear();
        for (const weighted_service& part : parts)
            m_weights.push_back(part.m_weight);
        m_credit.assign(parts.size(), 0);
    }

    std::vector<std::int64_t> m_weights;
    // Invariant: as many as m_weights; the sum is 0.
    std::vector<std::int64_t> m_credit;
};

} // namespace skylark

#endif
