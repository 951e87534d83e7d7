/*! @file
 *  Room: whether an upstream should take one more request.
 *
 *  Below saturation any free slot may be used. When room is scarce, the slots
 *  that can still answer in time go to the requests that can still be in time,
 *  and no request is sent where it lowers the throughput. Pure functions of a
 *  load report. */
#ifndef SKYLARK_ROUTE_ROOM_HPP
#define SKYLARK_ROUTE_ROOM_HPP

#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>
#include <skylark/load/service_time_estimator.hpp>

namespace skylark {

/*! @brief What one request needs, and how much room there is. Times are
 *  multiples of the usual time of such a request on an idle upstream. */
struct room_terms {
    //! Time left to the target of this request; negative if it has passed.
    double m_time_left{3.0};
    //! Time left to the target of a request that has just been made.
    double m_full_time{3.0};
    //! Fraction by which work takes longer while all slots are in use; 0 if
    //! upstreams do not slow down.
    double m_saturation_slowdown{};
    //! Few of the upstreams probed lately had room.
    bool m_scarce{};
};

/*! @brief Terms of a request.
 *  @param time_left time until its target; negative if it has passed
 *  @param full_time target of a request that has just been made
 *  @param known service time of such requests; the defaults of room_terms
 *  stand in for it while it is not known
 *  @param scarce see room_terms */
room_terms make_room_terms(duration time_left, duration full_time,
                           const service_time_estimator& known, bool scarce);

/*! @brief Expected time of a further request, as a multiple of the usual time
 *  of one request on an idle upstream.
 *  @param report load report of the upstream
 *  @param saturation_slowdown see room_terms */
double expected_time(const load_report& report, double saturation_slowdown);

/*! @brief Whether a further request would use nearly all slots, the range in
 *  which some upstreams slow down.
 *  @param report load report of the upstream */
bool near_saturation(const load_report& report);

/*! @brief Whether an upstream completes more requests per second with a further
 *  one than without it: it has a free slot, and using the slot does not slow
 *  the others down too much.
 *  @param report load report of the upstream
 *  @param saturation_slowdown see room_terms */
bool adds_throughput(const load_report& report, double saturation_slowdown);

/*! @brief Whether no upstream that works at its usual speed could answer in
 *  time any more.
 *  @param terms terms of the request */
bool is_late(const room_terms& terms);

/*! @brief Whether an upstream should get the request now.
 *
 *  - An answer that is expected in time: any slot that adds throughput. The
 *    queue, and slots that lower the throughput, only while room is not scarce;
 *    the queue length is limited as well, because some upstreams never answer a
 *    request that they cannot queue.
 *  - An answer that is expected late: any slot that adds throughput while room
 *    is not scarce. If it is, only a late request is sent, one at a time, to an
 *    upstream that is too slow for any request in time.
 *  @param report load report of the upstream
 *  @param terms terms of the request */
bool has_room(const load_report& report, const room_terms& terms);

/*! @brief Whether an upstream could answer a request that has just been made in
 *  time, on a slot that adds throughput. Independent of how long the request at
 *  hand has waited, so that it can be averaged over requests.
 *  @param report load report of the upstream
 *  @param terms terms of the request */
bool has_timely_room(const load_report& report, const room_terms& terms);

} // namespace skylark

#endif
