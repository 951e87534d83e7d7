/*! @file
 *  Declarations of the route module: which upstream takes a request. */
#ifndef SKYLARK_ROUTE_FWD_HPP
#define SKYLARK_ROUTE_FWD_HPP

namespace skylark {

struct candidate;

} // namespace skylark

#endif
