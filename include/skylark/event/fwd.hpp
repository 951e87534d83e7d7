/*! @file
 *  Declarations of the event module: events, their buffer
 *  and the clock that orders them. */
#ifndef SKYLARK_EVENT_FWD_HPP
#define SKYLARK_EVENT_FWD_HPP

namespace skylark {

struct event;
class event_ring;
class hybrid_clock;

} // namespace skylark

#endif
