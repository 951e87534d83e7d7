/*! @file
 *  Ratio budget: extra attempts as a share of recent requests. */
#ifndef SKYLARK_LIMIT_RATIO_BUDGET_HPP
#define SKYLARK_LIMIT_RATIO_BUDGET_HPP

#include <algorithm>

#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Each request earns a fraction of an extra attempt; what is earned
 *  and not spent is capped, so a quiet hour buys no storm. */
class ratio_budget {
public:
    /*! @param cap extra attempts that may gather */
    explicit ratio_budget(double cap) : m_cap{cap} {}

    /*! @brief Changes the cap; what is above it is lost. */
    void set_cap(double cap) {
        m_cap = cap;
        m_saved = std::min(m_cap, m_saved);
    }

    /*! @brief A request has arrived.
     *  @param percent extra attempts that 100 requests earn */
    void earn(double percent) {
        constexpr double whole = 100.0;
        m_saved = std::min(m_cap, m_saved + percent / whole);
    }

    /*! @brief Pays for one extra attempt.
     *  @return whether there was enough */
    bool spend() {
        if (m_saved < 1.0)
            return false;
        m_saved -= 1.0;
        return true;
    }

private:
    double m_cap;
    // Invariant: between 0 and m_cap.
    double m_saved{};
};

} // namespace skylark

#endif
