// Text that others wrote, made fit for events, tables and log lines.
#ifndef SKYLARK_CORE_FOREIGN_TEXT_HPP
#define SKYLARK_CORE_FOREIGN_TEXT_HPP

#include <string>
#include <string_view>

namespace skylark {

/*! @brief Whether a text is well-formed UTF-8. */
bool is_utf8(std::string_view text);

/*! @brief Replaces what is no UTF-8 and each control character by '?'.
 *  @param text what another process wrote
 *  @param longest bytes; a longer text is cut and ends with "..."
 *  @return one line of well-formed UTF-8 */
std::string clean_text(std::string_view text,
                       std::size_t longest = std::string_view::npos);

} // namespace skylark

#endif
