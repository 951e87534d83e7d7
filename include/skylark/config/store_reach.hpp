/*! @file
 *  Store reach: whether the store answers this entry.
 *
 *  Answers stores that turn some entries away while they serve the others: the
 *  entry that watches for its zone has to notice in time to be replaced, also
 *  when its calls are neither answered nor refused. */
#ifndef SKYLARK_CONFIG_STORE_REACH_HPP
#define SKYLARK_CONFIG_STORE_REACH_HPP

#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Follows the calls of one entry, one at a time. */
class store_reach {
public:
    /*! @brief A call begins.
     *  @param now the present
     *  @param wait that the call asks the store for; zero: none */
    void asked(time_point now, duration wait) {
        m_due = now + wait + late_after;
    }

    /*! @brief The call was answered in full. */
    void answered() {
        m_due.reset();
        m_failed = false;
    }

    /*! @brief The call was refused or had no usable answer. */
    void failed() {
        m_due.reset();
        m_failed = true;
    }

    /*! @brief Whether another entry should take over.
     *  @param now the present */
    [[nodiscard]] bool lost(time_point now) const {
        return m_failed || (m_due && now > *m_due);
    }

private:
    // Ten times what a store takes that answers within 15 ms.
    static constexpr duration late_after{milliseconds{150}};

    // Invariant: set while a call is under way.
    std::optional<time_point> m_due;
    bool m_failed{};
};

} // namespace skylark

#endif
