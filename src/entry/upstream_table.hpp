// All upstreams, from the document and the platform's instance list.
#ifndef SKYLARK_ENTRY_UPSTREAM_TABLE_HPP
#define SKYLARK_ENTRY_UPSTREAM_TABLE_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/config/document.hpp>
#include <skylark/discovery/instance.hpp>

#include "entry/upstream.hpp"

namespace skylark::entry {

/*! @brief Id of one life of an instance, the same in every entry. An address
 *  may pass from one instance to another. */
upstream_id id_of(const instance& from);

/*! @brief Owns the upstreams. One that has left stays until its last request
 *  has ended. */
class upstream_table {
public:
    /*! @param self id of this entry, for its own order of preference
     *  @param zone availability zone of this entry */
    upstream_table(entry_id self, std::string zone)
        : m_self{self}, m_zone{std::move(zone)} {}

    /*! @brief Takes a document and a list in.
     *  @param config what the operators declare
     *  @param list what the platform lists
     *  @return upstreams that were removed, for closing connections */
    std::vector<upstream> adopt(const document& config,
                                const instance_list& list);

    /*! @brief Looks an upstream up; nullptr when it is gone. */
    upstream* find(upstream_id key);

    /*! @brief Upstreams of a service, in this entry's order. */
    [[nodiscard]] const std::vector<upstream_id>&
    of_service(std::string_view name) const;

    std::map<upstream_id, upstream>& all() { return m_upstreams; }

private:
    void take(const instance& from, const document& config,
              std::optional<time_point> joined);
    void order_services();

    entry_id m_self;
    std::string m_zone;
    std::map<upstream_id, upstream> m_upstreams;
    // Invariant: lists exactly the upstreams above, by service.
    std::map<std::string, std::vector<upstream_id>, std::less<>> m_services;
};

} // namespace skylark::entry

#endif
