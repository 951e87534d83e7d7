/*! @file
 *  Declarations of the attempt module: the attempts of one request, up to its
 *  verdict. */
#ifndef SKYLARK_ATTEMPT_FWD_HPP
#define SKYLARK_ATTEMPT_FWD_HPP

namespace skylark {

struct attempt_terms;
class attempt_machine;

} // namespace skylark

#endif
