/*! @file
 *  Weighted round robin over the services among which a rule splits its
 *  requests. */
#ifndef SKYLARK_RULE_WEIGHTED_ROUND_ROBIN_HPP
#define SKYLARK_RULE_WEIGHTED_ROUND_ROBIN_HPP

#include <cstdint>
#include <span>
#include <vector>

#include <skylark/config/rule.hpp>

namespace skylark {

/*! @brief Smooth weighted round robin: after every request, each service's
 *  count is within one request of its weighted share, so that short windows
 *  keep the weights too. A change of the weights starts a new cycle. */
class weighted_round_robin {
public:
    /*! @brief Selects the service for the next request.
     *  @param services services with their weights
     *  @return index of the service; 0 if all weights are 0 */
    std::size_t next(std::span<const weighted_service> services) {
        if (!weights_equal(services))
            reset(services);
        std::int64_t total = 0;
        std::size_t best = 0;
        for (std::size_t i = 0; i < services.size(); ++i) {
            total += m_weights[i];
            m_credit[i] += m_weights[i];
            if (m_credit[i] > m_credit[best])
                best = i;
        }
        m_credit[best] -= total;
        return best;
    }

private:
    [[nodiscard]] bool
    weights_equal(std::span<const weighted_service> services) const {
        if (services.size() != m_weights.size())
            return false;
        for (std::size_t i = 0; i < services.size(); ++i)
            if (m_weights[i] != services[i].m_weight)
                return false;
        return true;
    }

    void reset(std::span<const weighted_service> services) {
        m_weights.clear();
        for (const weighted_service& service : services)
            m_weights.push_back(service.m_weight);
        m_credit.assign(services.size(), 0);
    }

    std::vector<std::int64_t> m_weights;
    // Invariant: one element per weight; the sum is 0.
    std::vector<std::int64_t> m_credit;
};

} // namespace skylark

#endif
