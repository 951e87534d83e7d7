/*! @file
 *  Finds the rule that a request falls under. */
#ifndef SKYLARK_RULE_CLASSIFY_HPP
#define SKYLARK_RULE_CLASSIFY_HPP

#include <functional>
#include <string_view>

#include <skylark/config/document.hpp>

namespace skylark {

/*! @brief Looks a header's value up; empty when the request lacks it. */
using header_lookup = std::function<std::string_view(std::string_view)>;

/*! @brief Finds the first rule that matches.
 *  @param rules the document's rules, first match wins
 *  @param method the request's method
 *  @param path the request's path, with or without query
 *  @param host the host that the request names
 *  @param header gives the request's headers
 *  @return the rule, or nullptr when no service answers this request */
const rule* classify(const std::vector<rule>& rules, std::string_view method,
                     std::string_view path, std::string_view host,
                     const header_lookup& header);

} // namespace skylark

#endif
