/*! @file
 *  Path times by zone, as seen by one entry. */
#ifndef SKYLARK_LOAD_PATH_TABLE_HPP
#define SKYLARK_LOAD_PATH_TABLE_HPP

#include <map>
#include <string>
#include <string_view>

#include <skylark/load/path_time.hpp>

namespace skylark {

/*! @brief Paths from the own zone to the others. The own zone is near by
 *  definition: its timeout is path_time::least_timeout, whatever its upstreams'
 *  load. */
class path_table {
public:
    /*! @param own zone of this entry */
    explicit path_table(std::string own) : m_own{std::move(own)} {}

    /*! @brief Adds an answered probe.
     *  @param zone of the probed upstream
     *  @param round_trip time from writing the probe to its response */
    void add_round_trip(std::string_view zone, duration round_trip) {
        if (path_time* path = entry_of(zone))
            path->add_round_trip(round_trip);
    }

    /*! @brief Adds an opened connection.
     *  @param zone of the upstream
     *  @param set_up time that opening it took */
    void add_set_up(std::string_view zone, duration set_up) {
        if (path_time* path = entry_of(zone))
            path->add_set_up(set_up);
    }

    /*! @brief Time after which a probe of a zone's upstream is overdue.
     *  @param zone of the upstream
     *  @param with_set_up whether a connection is opened for it */
    [[nodiscard]] duration timeout(std::string_view zone,
                                   bool with_set_up) const {
        return zone == m_own ? path_time::least_timeout
                             : path_to(zone).timeout(with_set_up);
    }

    /*! @brief See path_time::allowance; zero for the own zone. */
    [[nodiscard]] duration allowance(std::string_view zone) const {
        return path_to(zone).allowance();
    }

    /*! @brief Time that a message to a zone takes at least, by the mean round
     *  trip; zero for the own zone and for unknown paths. */
    [[nodiscard]] duration one_way(std::string_view zone) const {
        return path_to(zone).round_trip() / 2;
    }

    /*! @brief Mean time of a probe; zero for the own zone and for unknown
     *  paths. */
    [[nodiscard]] duration expected(std::string_view zone,
                                    bool with_set_up) const {
        return path_to(zone).expected(with_set_up);
    }

private:
    // Zone names come from the instance list; more than these are not learnt.
    static constexpr std::size_t most_zones = 64;

    path_time* entry_of(std::string_view zone) {
        if (zone == m_own)
            return nullptr;
        const auto found = m_paths.find(zone);
        if (found != m_paths.end())
            return &found->second;
        return m_paths.size() < most_zones ? &m_paths[std::string{zone}]
                                           : nullptr;
    }

    [[nodiscard]] const path_time& path_to(std::string_view zone) const {
        static const path_time unknown;
        const auto found = m_paths.find(zone);
        return found == m_paths.end() ? unknown : found->second;
    }

    std::string m_own;
    // Invariant: does not hold m_own.
    std::map<std::string, path_time, std::less<>> m_paths;
};

} // namespace skylark

#endif
