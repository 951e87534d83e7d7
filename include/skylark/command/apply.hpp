/*! @file
 *  Applies change statements to the document in force. */
#ifndef SKYLARK_COMMAND_APPLY_HPP
#define SKYLARK_COMMAND_APPLY_HPP

#include <skylark/command/statement.hpp>
#include <skylark/config/document.hpp>
#include <skylark/discovery/instance.hpp>

namespace skylark {

/*! @brief Applies a change to a copy of a document.
 *  @param base document to start from
 *  @param change the statement
 *  @param instances current list; a drain that would leave a service without
 *  upstreams in an active zone is refused, unless force is set
 *  @return the changed and checked document, or the first error */
parsed<document> apply(const document& base, const change_statement& change,
                       const instance_list& instances);

} // namespace skylark

#endif
