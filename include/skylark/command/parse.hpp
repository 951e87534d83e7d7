/*! @file
 *  Parser of the operators' command language. */
#ifndef SKYLARK_COMMAND_PARSE_HPP
#define SKYLARK_COMMAND_PARSE_HPP

#include <string_view>

#include <skylark/command/statement.hpp>
#include <skylark/core/error.hpp>

namespace skylark {

/*! @brief Reads one statement.
 *  @param line the text, without a line break
 *  @return the statement, or an error that names the column */
parsed<statement> parse_statement(std::string_view line);

} // namespace skylark

#endif
