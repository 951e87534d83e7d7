/*! @file
 *  Place duty: which entries the platform's store lists.
 *
 *  Answers mass restarts of hundreds of entries: each place costs two calls and
 *  its renewals. New entries need to find somebody, not everybody, so the
 *  relays are listed and no others. */
#ifndef SKYLARK_MEMBER_PLACE_DUTY_HPP
#define SKYLARK_MEMBER_PLACE_DUTY_HPP

#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Decides whether one entry keeps a place in the store's list. */
class place_duty {
public:
    /*! @brief Takes in whether the entry relays.
     *  @param now the present
     *  @param relays whether it does
     *  @return whether it is to be listed */
    bool step(time_point now, bool relays) {
        if (relays == m_listed) {
            m_since.reset();
            return m_listed;
        }
        if (!m_since)
            m_since = now;
        if (now - *m_since >= (relays ? settle_time : release_time)) {
            m_listed = relays;
            m_since.reset();
        }
        return m_listed;
    }

private:
    // An entry that has just started takes itself for a relay until it has
    // heard others: two reports, or a listing where no seed lives.
    static constexpr duration settle_time{seconds{3}};
    // Relays that change back and forth do not pay for it each time.
    static constexpr duration release_time{seconds{30}};

    bool m_listed{};
    // Invariant: set while what the entry does differs from m_listed.
    std::optional<time_point> m_since;
};

} // namespace skylark

#endif
