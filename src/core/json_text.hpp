// JSON from and for others: reading and writing it never throws and never
// recurses deeply.
#ifndef SKYLARK_CORE_JSON_TEXT_HPP
#define SKYLARK_CORE_JSON_TEXT_HPP

#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include <skylark/core/error.hpp>

namespace skylark {

/*! @brief Most levels of arrays and objects in JSON that is read. */
inline constexpr std::size_t most_json_levels = 64;

/*! @brief Reads JSON that another process wrote.
 *  @param text the JSON
 *  @param place for the error
 *  @return the tree, or why the text is none, without its bytes */
parsed<nlohmann::json> parse_json(std::string_view text,
                                  std::string_view place);

/*! @brief Writes JSON; bytes that are no UTF-8 are replaced.
 *  @param tree at most as deep as what parse_json returns
 *  @param indent blanks for each level; negative: all on one line */
std::string json_text(const nlohmann::json& tree, int indent = -1);

/*! @brief A value for an error's text: its JSON, cut if it is long. */
std::string json_excerpt(const nlohmann::json& value);

} // namespace skylark

#endif
