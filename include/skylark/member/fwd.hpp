/*! @file
 *  Forward declarations of the membership module, which tracks live
 *  entries. */
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
