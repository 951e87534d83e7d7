/*! @file
 *  Declarations of the share module: the part of each limit that
 *  an entry owns. */
#ifndef SKYLARK_SHARE_FWD_HPP
#define SKYLARK_SHARE_FWD_HPP

namespace skylark {

class share_table;

} // namespace skylark

#endif
