/*! @file
 *  Declarations of the event module: the time line. */
#ifndef SKYLARK_EVENT_FWD_HPP
#define SKYLARK_EVENT_FWD_HPP

namespace skylark {

struct event;
class event_ring;
class hybrid_clock;

} // namespace skylark

#endif
