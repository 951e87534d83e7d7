/*! @file
 *  Declarations of the config module: the operators' document. */
#ifndef SKYLARK_CONFIG_FWD_HPP
#define SKYLARK_CONFIG_FWD_HPP

namespace skylark {

struct zone;
struct service;
struct rule;
struct limits;
struct document;
class trust;
class store_reach;
struct watch_state;
class watch_turn;

} // namespace skylark

#endif
