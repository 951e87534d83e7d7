/*! @file
 *  Declarations of the limit module: budgets and bounded queues. */
#ifndef SKYLARK_LIMIT_FWD_HPP
#define SKYLARK_LIMIT_FWD_HPP

namespace skylark {

class token_bucket;
class ratio_budget;

} // namespace skylark

#endif
