/*! @file
 *  Ask plan: whom to ask for its load just before a request is sent, and who
 *  takes the request.
 *
 *  Answers the load of upstreams that slow down and recover within fractions
 *  of a second: a report that is older than the time between two requests of
 *  one entry says nothing about them. Pure: reports come in, a step goes
 *  out. */
#ifndef SKYLARK_ROUTE_ASK_PLAN_HPP
#define SKYLARK_ROUTE_ASK_PLAN_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include <skylark/core/id.hpp>
#include <skylark/core/random.hpp>
#include <skylark/load/report.hpp>

namespace skylark {

/*! @brief An upstream as the plan sees it. */
struct ask_candidate {
    upstream_id m_upstream;
    bool m_near{};               //!< in this entry's own availability zone
    bool m_asked{};              //!< was asked for this request already
    bool m_pending{};            //!< and has not answered yet
    bool m_suspect{};            //!< failed lately; goes last
    bool m_connected{};          //!< has an idle connection
    bool m_held{};               //!< has a connection, idle or at work
    bool m_newcomer{};           //!< usable since lately, not yet asked
    std::uint32_t m_in_flight{}; //!< this entry's own requests
    //! A report that is young enough to act on.
    std::optional<load_report> m_report;
    //! An older one, which still tells whether it was full a moment ago.
    std::optional<load_report> m_recent;
};

/*! @brief Ask these, then plan again. */
struct ask_upstreams {
    std::vector<upstream_id> m_whom;
};

/*! @brief Send the request to this one. */
struct send_to_upstream {
    upstream_id m_upstream;
};

/*! @brief Wait for answers that are on their way. */
struct await_answers {};

/*! @brief Nobody can take the request now. */
struct nobody_free {};

using ask_step =
    std::variant<ask_upstreams, send_to_upstream, await_answers, nobody_free>;

/*! @brief What one step may do. */
struct ask_terms {
    bool m_patient{};          //!< answers under way are waited for
    std::size_t m_questions{}; //!< that the budget allows now
    //! Longest expected time, in the unit of expected_time(), that is worth
    //! waiting for in an upstream's queue.
    double m_in_time{3.0};
    //! See expected_time().
    double m_crowding{};
};

/*! @brief Expected time of a further request, in parts of the usual time of
 *  one request on an idle upstream.
 *  @param of what the upstream said
 *  @param crowding part by which work takes longer while all slots are used */
double expected_time(const load_report& of, double crowding);

/*! @brief Whether a further request leaves hardly a slot free, so that an
 *  upstream that slows down when nearly full does so. */
bool crowds(const load_report& of);

/*! @brief Whether an upstream should get a request now. A free slot takes any;
 *  its queue, and the last slots of one that slows down when nearly full, only
 *  one that is still answered in time: whatever is late there makes all that
 *  follow late. Some upstreams never answer a request that they cannot queue.
 *  @param of what the upstream said
 *  @param terms of the step */
bool has_room(const load_report& of, const ask_terms& terms);

/*! @brief Most questions that one step asks. */
inline constexpr std::size_t most_questions = 3;

/*! @brief Plans the next step for one request.
 *  @param from upstreams that may take it
 *  @param terms what the step may do
 *  @param random source of chance
 *  @return the step; without a budget for questions, the better of two by
 *  this entry's own requests */
ask_step plan_ask(std::span<const ask_candidate> from, const ask_terms& terms,
                  random_source& random);

} // namespace skylark

#endif
