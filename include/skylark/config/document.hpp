/*! @file
 *  The configuration document of one deployment, kept in the platform's
 *  store and changed by compare-and-swap. */
#ifndef SKYLARK_CONFIG_DOCUMENT_HPP
#define SKYLARK_CONFIG_DOCUMENT_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/config/limits.hpp>
#include <skylark/config/rollout_order.hpp>
#include <skylark/config/rule.hpp>
#include <skylark/config/service.hpp>
#include <skylark/config/team.hpp>
#include <skylark/config/zone.hpp>
#include <skylark/core/error.hpp>

namespace skylark {

/*! @brief Everything the operators have declared. */
struct document {
    //! Change id of the write that created this revision. A writer that lost
    //! the response finds out from it whether its write took effect.
    std::string m_change_id;
    //! Number that the operators give this configuration, rising with each
    //! change; 0: they give none, and the store's position alone orders it.
    std::uint64_t m_version{};
    //! Ids of earlier changes, newest first.
    std::vector<std::string> m_recent_changes;
    std::vector<zone> m_zones;
    std::vector<service> m_services;
    std::vector<rule> m_rules; //!< first match wins
    limits m_limits;
    std::vector<team> m_teams;             //!< empty: requests need no keys
    std::vector<rollout_order> m_rollouts; //!< one a service at most

    bool operator==(const document&) const = default;

    [[nodiscard]] const zone* find_zone(std::string_view name) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const rule* find_rule(std::string_view name) const;

    /*! @brief Whether the document records a change as current or recent. */
    [[nodiscard]] bool has_change(std::string_view change_id) const;

    /*! @brief Records the id of the change that creates the next revision. */
    void begin_change(std::string change_id);
};

/*! @brief Checks constraints across fields: references, names, ranges.
 *  @param subject the document
 *  @return nothing, or the first violation with its place */
parsed<void> check(const document& subject);

/*! @brief Reads the document's JSON form and checks it.
 *  @param text JSON
 *  @return the document, or the first error with its place */
parsed<document> parse_document(std::string_view text);

/*! @brief Writes the JSON form.
 *  @param subject the document
 *  @return indented JSON that parse_document reads back */
std::string format_document(const document& subject);

/*! @brief Writes the JSON form for other entries: on one line, without the
 *  fields that have their defaults.
 *  @param subject the document
 *  @return JSON that parse_document reads back */
std::string format_compact_document(const document& subject);

/*! @brief Name of a request class in documents and commands. */
std::string_view name_of(request_class value);

/*! @brief Name of a zone state in documents and commands. */
std::string_view name_of(zone_state value);

} // namespace skylark

#endif
