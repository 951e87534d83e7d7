// What an entry observes of the load on a service.
#ifndef SKYLARK_ENTRY_SERVICE_STATE_HPP
#define SKYLARK_ENTRY_SERVICE_STATE_HPP

#include <skylark/core/time.hpp>
#include <skylark/load/room_estimator.hpp>

namespace skylark::entry {

/*! @brief What this entry observes of the load on a service. */
struct service_state {
    room_estimator m_room;
    time_point m_last_refusal; //!< by this entry
};

} // namespace skylark::entry

#endif
