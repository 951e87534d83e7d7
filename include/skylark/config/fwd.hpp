/*! @file
 *  Declarations of the config module: the deployment's configuration document.
 */
#ifndef SKYLARK_CONFIG_FWD_HPP
#define SKYLARK_CONFIG_FWD_HPP

namespace skylark {

struct zone;
struct service;
struct rule;
struct limits;
struct document;
class poll_timer;
class store_reachability;
struct watch_state;
class watch_schedule;
struct transfer_timing;
class transfer_plan;
class upload_limit;
class update_delay;
struct announcement;

} // namespace skylark

#endif
