/*! @file
 *  Upstreams from the configuration document and the instance list. */
#ifndef SKYLARK_ENTRY_UPSTREAM_TABLE_HPP
#define SKYLARK_ENTRY_UPSTREAM_TABLE_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/config/document.hpp>
#include <skylark/discovery/instance.hpp>
#include <skylark/load/availability_history.hpp>

#include "entry/upstream.hpp"

namespace skylark::entry {

/*! @brief Id of one incarnation of an instance at one address, the same in
 *  every entry. The address alone does not identify an upstream, because it may
 *  be reused by another instance. */
upstream_id id_of(const instance& from);

/*! @brief Owns the upstreams. One that is no longer listed is removed once it
 *  has no request in flight; what it said of its availability stays known for
 *  the case that it is listed again. */
class upstream_table {
public:
    /*! @brief Creates an empty table.
     *  @param self id of this entry, which determines its order of preference
     *  @param zone availability zone of this entry */
    upstream_table(entry_id self, std::string zone)
        : m_self{self}, m_zone{std::move(zone)} {}

    /*! @brief Applies a configuration document and an instance list.
     *  @param config document with the declared zones
     *  @param list instances listed by the platform
     *  @return removed upstreams, whose connections must be closed */
    std::vector<upstream> adopt(const document& config,
                                const instance_list& list);

    /*! @brief Finds an upstream; nullptr if it was removed. */
    upstream* find(upstream_id key);

    /*! @brief Upstreams of a service in this entry's order of preference;
     *  empty for an unknown service. */
    [[nodiscard]] const std::vector<upstream_id>&
    of_service(std::string_view name) const;

    std::map<upstream_id, upstream>& all() { return m_upstreams; }

private:
    void update(const instance& from, const document& config,
                std::optional<time_point> joined);
    void order_services();

    entry_id m_self;
    std::string m_zone;
    std::map<upstream_id, upstream> m_upstreams;
    // Invariant: holds no key of m_upstreams.
    availability_history m_unlisted;
    // Invariant: holds exactly the keys of m_upstreams, by service.
    std::map<std::string, std::vector<upstream_id>, std::less<>> m_services;
};

} // namespace skylark::entry

#endif
