/*! @file
 *  Declarations of the member module: which entries are live. */
#ifndef SKYLARK_MEMBER_FWD_HPP
#define SKYLARK_MEMBER_FWD_HPP

namespace skylark {

struct member;
struct heartbeat;
struct member_change;
class member_view;
class member_table;
class roster;

} // namespace skylark

#endif
