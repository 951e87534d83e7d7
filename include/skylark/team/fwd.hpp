/*! @file
 *  Declarations of the team module, which tells whose request one is. */
#ifndef SKYLARK_TEAM_FWD_HPP
#define SKYLARK_TEAM_FWD_HPP

namespace skylark {

struct request_rank;
class team_directory;

} // namespace skylark

#endif
