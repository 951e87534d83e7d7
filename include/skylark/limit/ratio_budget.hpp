/*! @file
 *  Ratio budget: limits extra attempts to a percentage of recent requests. */
#ifndef SKYLARK_LIMIT_RATIO_BUDGET_HPP
#define SKYLARK_LIMIT_RATIO_BUDGET_HPP

#include <algorithm>

#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Budget to which each request adds a fraction of an extra attempt.
 *  The balance is capped, so that a period with few extra attempts cannot
 *  finance a burst of retries later. */
class ratio_budget {
public:
    /*! @param cap maximum balance, in extra attempts */
    explicit ratio_budget(double cap) : m_cap{cap} {}

    /*! @brief Changes the cap; a balance above it is cut off.
     *  @param cap maximum balance, in extra attempts */
    void set_cap(double cap) {
        m_cap = cap;
        m_balance = std::min(m_cap, m_balance);
    }

    /*! @brief Adds the share of one request to the balance.
     *  @param percent extra attempts allowed per 100 requests */
    void deposit(double percent) {
        constexpr double full_percent = 100.0;
        m_balance = std::min(m_cap, m_balance + percent / full_percent);
    }

    /*! @brief Whether the balance holds one extra attempt. */
    [[nodiscard]] bool can_withdraw() const { return m_balance >= 1.0; }

    /*! @brief Takes one extra attempt from the balance.
     *  @return false, with the balance unchanged, if it holds less than one */
    bool try_withdraw() {
        if (!can_withdraw())
            return false;
        m_balance -= 1.0;
        return true;
    }

private:
    double m_cap;
    // Invariant: between 0 and m_cap.
    double m_balance{};
};

} // namespace skylark

#endif
