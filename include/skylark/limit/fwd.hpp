/*! @file
 *  Declarations of the limit module: token bucket, ratio budget, drain
 *  schedule, hold-up record, signal span, arrival span, answer bound, answer
 *  flow, overtime quota and memory level. */
#ifndef SKYLARK_LIMIT_FWD_HPP
#define SKYLARK_LIMIT_FWD_HPP

namespace skylark {

class token_bucket;
class ratio_budget;
class drain_schedule;
class hold_up_record;
struct signal_span;
struct arrival_span;
class answer_bound;
class answer_flow;
class overtime_quota;
class memory_level;

} // namespace skylark

#endif
