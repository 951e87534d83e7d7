/*! @file
 *  Matches requests against the rules of the configuration. */
#ifndef SKYLARK_RULE_CLASSIFY_HPP
#define SKYLARK_RULE_CLASSIFY_HPP

#include <functional>
#include <string_view>

#include <skylark/config/document.hpp>

namespace skylark {

/*! @brief Returns the value of a header; empty if the request lacks it. */
using header_lookup = std::function<std::string_view(std::string_view)>;

/*! @brief Finds the first rule that matches a request.
 *  @param rules rules in the order of the configuration document
 *  @param method request method
 *  @param path request path, with or without query
 *  @param host host of the request, with or without port
 *  @param header looks up headers of the request
 *  @return the rule, or nullptr if no rule matches; points into rules */
const rule* classify(const std::vector<rule>& rules, std::string_view method,
                     std::string_view path, std::string_view host,
                     const header_lookup& header);

} // namespace skylark

#endif
