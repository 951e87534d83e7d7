/*! @file
 *  Retry-After: when a refused caller should return.
 *
 *  Answers two loads. A single refusal, by an upstream that had room or for
 * want of a free slot nearby, is repaired within the caller's target if the
 * caller returns soon. In overload an early return only takes the place of
 * another caller, so the returns are spread over the time in which room comes
 * back. */
#ifndef SKYLARK_LIMIT_RETRY_AFTER_HPP
#define SKYLARK_LIMIT_RETRY_AFTER_HPP

#include <cstdint>
#include <optional>

#include <skylark/core/random.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Why a request is refused. */
enum class refusal_cause : std::uint8_t {
    upstream_refused, //!< by an upstream that had room by its report
    no_room,          //!< no upstream that was probed had room
    no_upstream,      //!< none can be used, whatever its load
    entry_leaving     //!< this entry is shutting down, others are not
};

/*! @brief A refusal, with what is known of the load. */
struct refusal {
    refusal_cause m_cause{refusal_cause::no_upstream};
    duration m_target_left{};  //!< until the caller's target; may be negative
    duration m_service_time{}; //!< of such requests; zero if not known
    double m_room_share{1.0};  //!< see room_estimator
    //! Time until the first upstream can be used, if that is known.
    std::optional<duration> m_until_usable;
};

/*! @brief Time after which the caller should return.
 *  @param why the refusal
 *  @param random random number source */
duration retry_after(const refusal& why, random_source& random);

/*! @brief Time after which a caller should return to an entry that has no
 *  configuration yet.
 *  @param since_start time since the start of the entry
 *  @param first_call time from the start to the entry's first store call */
duration retry_after_start(duration since_start, duration first_call);

} // namespace skylark

#endif
