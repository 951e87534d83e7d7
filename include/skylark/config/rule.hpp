/*! @file
 *  Rule: how requests of one kind must be treated. */
#ifndef SKYLARK_CONFIG_RULE_HPP
#define SKYLARK_CONFIG_RULE_HPP

#include <cstdint>
#include <string>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief How urgent a request is; lower values go first. */
enum class request_class : std::uint8_t { urgent, normal, bulk };

inline constexpr std::size_t request_class_count = 3;

/*! @brief Treatment of the requests that match. */
struct rule {
    std::string m_name;
    std::string m_service;
    std::string m_method{"*"}; //!< "*" matches every method
    std::string m_path_prefix;
    std::string m_header;       //!< empty: no header is looked at
    std::string m_header_value; //!< value that m_header must have
    request_class m_class{request_class::normal};
    bool m_idempotent{false};
    duration m_deadline{seconds{2}};

    bool operator==(const rule&) const = default;
};

} // namespace skylark

#endif
