/*! @file
 *  Availability history: what upstreams said before the instance list lost
 *  them. A record may lapse while its upstream lives on, for example in an
 *  outage of the store; listed again, the upstream must not count as new. */
#ifndef SKYLARK_LOAD_AVAILABILITY_HISTORY_HPP
#define SKYLARK_LOAD_AVAILABILITY_HISTORY_HPP

#include <algorithm>
#include <deque>

#include <skylark/core/id.hpp>
#include <skylark/load/availability.hpp>

namespace skylark {

/*! @brief Availability of upstreams that are not listed. Keeps at most
 *  `capacity` of them, and drops the one that was added first. */
class availability_history {
public:
    static constexpr std::size_t capacity = 1024;

    /*! @brief Adds an upstream. */
    void add(upstream_id key, const availability& known) {
        if (m_records.size() == capacity)
            m_records.pop_front();
        m_records.push_back({key, known});
    }

    /*! @brief Removes an upstream.
     *  @return what is known of it; the default for an unknown one */
    availability take(upstream_id key) {
        const auto found =
            std::find_if(m_records.begin(), m_records.end(),
                         [&](const record& item) { return item.m_key == key; });
        if (found == m_records.end())
            return {};
        const availability out = found->m_known;
        m_records.erase(found);
        return out;
    }

private:
    struct record {
        upstream_id m_key;
        availability m_known;
    };

    std::deque<record> m_records; // oldest first
};

} // namespace skylark

#endif
