/*! @file
 *  Zone share: which part of a service's requests leaves the zone directly, and
 *  which other zones are used. One object for each service of an entry.
 *
 *  While the own zone has room nothing leaves it. The share follows the costs
 *  slowly, so that entries that see the same do not all move their requests at
 *  once. Decisions take time as an argument and do no I/O. */
#ifndef SKYLARK_ROUTE_ZONE_SHARE_HPP
#define SKYLARK_ROUTE_ZONE_SHARE_HPP

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/random.hpp>
#include <skylark/route/zone_cost.hpp>
#include <skylark/route/zone_room.hpp>

namespace skylark {

/*! @brief Time on the path to another zone. */
struct zone_distance {
    std::string_view m_zone;
    duration m_step{};       //!< timeout of a step of probes
    duration m_round_trip{}; //!< zero if it is not known
};

/*! @brief Share of the requests of one service that leaves the zone. */
class zone_share {
public:
    /*! @param own zone of this entry */
    explicit zone_share(std::string own = {}) : m_own{std::move(own)} {}

    /*! @brief A probe was answered.
     *  @param zone of the upstream
     *  @param now current time
     *  @param has_room whether a new request could have been answered in time
     */
    void answered(std::string_view zone, time_point now, bool has_room);

    /*! @brief A probe was not answered in time, or failed. */
    void unanswered(std::string_view zone, time_point now);

    /*! @brief Adapts the share to what is known.
     *  @param now current time
     *  @param terms of the request at hand
     *  @param others other zones with upstreams that can take it */
    void update(time_point now, const zone_terms& terms,
                std::span<const zone_distance> others);

    /*! @brief Part of the requests that should leave the zone directly, 0 to
     *  0.9. The rest shows when the own zone has room again. */
    [[nodiscard]] double share() const { return m_share; }

    /*! @brief Whether requests leave the zone directly. */
    [[nodiscard]] bool leaving() const { return m_leaving; }

    /*! @brief Draws whether one request leaves directly. */
    [[nodiscard]] bool draw(random_source& random) const;

    /*! @brief Whether a request may go to another zone, as of the last update.
     *  False for zones that do not answer, and for those that serve this one
     *  much worse than another does. */
    [[nodiscard]] bool open(std::string_view zone) const;

    /*! @brief Room in the own zone, see zone_room::share. */
    [[nodiscard]] double own_room(time_point now) const;

private:
    void move(time_point now, double staying, double leaving);
    zone_room* room_of(std::string_view zone);

    std::string m_own;
    std::map<std::string, zone_room, std::less<>> m_rooms; // by zone
    std::vector<std::string> m_open;                       // other zones
    double m_share{};
    // Invariant: true while m_share is above 0, from leaves_above on.
    bool m_leaving{};
    time_point m_updated;
};

} // namespace skylark

#endif
