/*! @file
 *  Declarations of the load module: load reports, and the load
 *  state and availability that an entry keeps for each upstream. */
#ifndef SKYLARK_LOAD_FWD_HPP
#define SKYLARK_LOAD_FWD_HPP

namespace skylark {

struct load_report;
class availability;
class availability_history;
class path_table;
class path_time;
class upstream_load;

} // namespace skylark

#endif
