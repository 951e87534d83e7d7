/*! @file
 *  Forward declarations of the allowance module. */
#ifndef SKYLARK_ALLOWANCE_FWD_HPP
#define SKYLARK_ALLOWANCE_FWD_HPP

namespace skylark {

struct allowance_message;
struct allowance_view;
struct outgoing_allowance;
struct team_limit;
class allowance_client;
class allowance_lender;
class paced_share;

} // namespace skylark

#endif
