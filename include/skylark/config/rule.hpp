/*! @file
 *  Rule: how matching requests are handled. */
#ifndef SKYLARK_CONFIG_RULE_HPP
#define SKYLARK_CONFIG_RULE_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Priority of a request; lower values go first. */
enum class request_class : std::uint8_t { urgent, normal, bulk };

inline constexpr std::size_t request_class_count = 3;

/*! @brief One service among several that share a rule's requests. */
struct weighted_service {
    std::string m_service;
    std::uint32_t m_weight{1}; //!< weight relative to the sum of all weights

    bool operator==(const weighted_service&) const = default;
};

/*! @brief Match conditions and how matching requests are handled. */
struct rule {
    std::string m_name;
    std::string m_service;
    std::string m_method{"*"}; //!< "*" matches every method
    std::string m_path_prefix;
    std::string m_header;       //!< empty: matches any headers
    std::string m_header_value; //!< value that m_header must have
    request_class m_class{request_class::normal};
    bool m_idempotent{false};
    duration m_deadline{seconds{2}};
    std::string m_host; //!< host name without port; empty: every host
    //! Services that share the requests; empty: m_service takes all.
    std::vector<weighted_service> m_split;
    std::uint32_t m_max_attempts{4}; //!< upstreams to try per request
    //! Target response time; 0: the deadline.
    duration m_target{0};
    std::uint32_t m_rank{0}; //!< order within a class, 0 first
    bool m_public{};         //!< needs no key where the document has teams

    bool operator==(const rule&) const = default;
};

} // namespace skylark

#endif
