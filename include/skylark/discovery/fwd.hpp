/*! @file
 *  Declarations of the discovery module: the platform's instance list. */
#ifndef SKYLARK_DISCOVERY_FWD_HPP
#define SKYLARK_DISCOVERY_FWD_HPP

namespace skylark {

struct instance;
struct instance_list;
struct instance_changes;
class instance_log;
class lapse_window;
class list_guard;

} // namespace skylark

#endif
