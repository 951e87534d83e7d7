/*! @file
 *  Trust: how long an entry goes by what others confirm before it asks the
 *  store itself. Answers outages of the store at hundreds of entries: all of
 *  them lose the confirmation at once, and each call is paid for. */
#ifndef SKYLARK_CONFIG_TRUST_HPP
#define SKYLARK_CONFIG_TRUST_HPP

#include <algorithm>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Decides when an entry that does not watch the store asks it. */
class trust {
public:
    /*! @param longest time without a confirmation or an own try */
    explicit trust(duration longest) : m_longest{longest} {}

    /*! @brief Begins to count.
     *  @param now the present */
    void start(time_point now) { m_since = now; }

    /*! @brief Whether to ask now; counts as a try.
     *  @param now the present
     *  @param age of the newest confirmation */
    bool ask(time_point now, duration age) {
        if (std::min(age, now - m_since) <= m_longest)
            return false;
        m_since = now;
        return true;
    }

private:
    duration m_longest;
    time_point m_since; // start, or the last own try
};

} // namespace skylark

#endif
