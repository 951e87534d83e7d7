/*! @file
 *  Declarations of the command module: the operators' command language. */
#ifndef SKYLARK_COMMAND_FWD_HPP
#define SKYLARK_COMMAND_FWD_HPP

namespace skylark {

struct show_query;
struct explain_query;
struct change_statement;
struct table;

} // namespace skylark

#endif
