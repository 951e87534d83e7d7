/*! @file
 *  Declarations of the limit module: token bucket and ratio
 *  budget. */
#ifndef SKYLARK_LIMIT_FWD_HPP
#define SKYLARK_LIMIT_FWD_HPP

namespace skylark {

class token_bucket;
class ratio_budget;

} // namespace skylark

#endif
