/*! @file
 *  Policy that decides which entries are listed in the platform's store.
 *
 *  Limits the store calls of a mass restart of hundreds of entries: each listed
 *  entry costs two calls and its renewals. A new entry needs to find only some
 *  members, so only relays are listed. */
#ifndef SKYLARK_MEMBER_LISTING_POLICY_HPP
#define SKYLARK_MEMBER_LISTING_POLICY_HPP

#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Decides whether one entry is listed in the store.
 *
 *  The decision follows the relay role after a delay. */
class listing_policy {
public:
    /*! @brief Updates the decision.
     *  @param now the present
     *  @param is_relay whether the entry is a relay at present
     *  @return whether the entry is to be listed */
    bool step(time_point now, bool is_relay) {
        if (is_relay == m_listed) {
            m_differs_since.reset();
            return m_listed;
        }
        if (!m_differs_since)
            m_differs_since = now;
        if (now - *m_differs_since >=
            (is_relay ? listing_delay : delisting_delay)) {
            m_listed = is_relay;
            m_differs_since.reset();
        }
        return m_listed;
    }

private:
    // A newly started entry considers itself a relay until it has heard from
    // others: after two reports, or after a listing if no seed is alive.
    static constexpr duration listing_delay{seconds{3}};
    // Avoids store calls when the relay role changes back and forth.
    static constexpr duration delisting_delay{seconds{30}};

    bool m_listed{};
    // Invariant: set while the relay role of the entry differs from m_listed.
    std::optional<time_point> m_differs_since;
};

} // namespace skylark

#endif
