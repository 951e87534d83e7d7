// Zone share: which part of a service's requests leaves the zone directly.
#include <skylark/route/zone_share.hpp>

#include <algorithm>
#include <limits>
#include <optional>

namespace skylark {

namespace {

// Enough requests stay to see when the own zone has room again.
constexpr double most = 0.9;
// Change of the share per second. While it rises, requests that find no room in
// their zone still go to others, so a slow rise loses little.
constexpr double rise = 0.5;
constexpr double fall = 0.25;
// Leaving has to be cheaper by this part before the share rises; between both
// costs it stays as it is.
constexpr double margin = 0.1;
// The pace is full where one cost exceeds the other by this part.
constexpr double full_pace_at = 0.25;
constexpr double leaves_above = 0.05;
// An entry with few requests does not move by more than this between two.
constexpr duration longest_interval = milliseconds{500};
// Another zone is not used if it costs this much more than the best one.
constexpr double worse_zone = 1.5;
// With less room than this, a zone is used only by zones that have half as
// much: between full zones, a request would only take another one's place.
constexpr double little_room = 0.25;
// Zone names come from the instance list.
constexpr std::size_t most_zones = 64;

} // namespace

zone_room* zone_share::room_of(std::string_view zone) {
    const auto found = m_rooms.find(zone);
    if (found != m_rooms.end())
        return &found->second;
    return m_rooms.size() < most_zones ? &m_rooms[std::string{zone}] : nullptr;
}

void zone_share::answered(std::string_view zone, time_point now,
                          bool has_room) {
    if (zone_room* room = room_of(zone))
        room->answered(now, has_room);
}

void zone_share::unanswered(std::string_view zone, time_point now) {
    if (zone_room* room = room_of(zone))
        room->unanswered(now);
}

double zone_share::own_room(time_point now) const {
    const auto found = m_rooms.find(m_own);
    return found == m_rooms.end() ? 1.0 : found->second.share(now);
}

bool zone_share::open(std::string_view zone) const {
    return std::find(m_open.begin(), m_open.end(), zone) != m_open.end();
}

bool zone_share::draw(random_source& random) const {
    constexpr std::uint32_t parts = 1000;
    return m_leaving && random(parts) < m_share * parts;
}

void zone_share::update(time_point now, const zone_terms& terms,
                        std::span<const zone_distance> others) {
    struct priced {
        std::string_view m_zone;
        zone_path m_path;
        double m_cost;
    };
    std::vector<priced> usable;
    const double own = terms.m_own_usable ? own_room(now) : 0.0;
    for (const zone_distance& other : others) {
        const auto known = m_rooms.find(other.m_zone);
        if (known != m_rooms.end() && known->second.silent(now))
            continue;
        const double room =
            known == m_rooms.end() ? 1.0 : known->second.share(now);
        if (room < little_room && room < 2.0 * own)
            continue;
        const zone_path path{other.m_step, other.m_round_trip, room};
        usable.push_back({other.m_zone, path, cost_of_leaving(terms, path)});
    }
    const auto best =
        std::min_element(usable.begin(), usable.end(),
                         [](const priced& left, const priced& right) {
                             return left.m_cost < right.m_cost;
                         });
    m_open.clear();
    for (const priced& item : usable)
        if (item.m_cost <= worse_zone * best->m_cost)
            m_open.emplace_back(item.m_zone);
    const bool any = best != usable.end();
    move(now, cost_of_staying(terms, own, any ? &best->m_path : nullptr),
         any ? best->m_cost : std::numeric_limits<double>::infinity());
}

void zone_share::move(time_point now, double staying, double leaving) {
    const duration since =
        std::clamp<duration>(now - m_updated, duration{0}, longest_interval);
    m_updated = now;
    const double elapsed = std::chrono::duration<double>{since}.count();
    const auto pace = [](double higher, double lower) {
        return std::min(1.0, (higher / lower - 1.0) / full_pace_at);
    };
    if (staying > leaving * (1.0 + margin))
        m_share += rise * elapsed * pace(staying, leaving);
    else if (staying < leaving)
        m_share -= fall * elapsed * pace(leaving, staying);
    m_share = std::clamp(m_share, 0.0, most);
    m_leaving = m_share > (m_leaving ? 0.0 : leaves_above);
}

} // namespace skylark
