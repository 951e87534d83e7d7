// What an upstream says of its availability in one response.
#ifndef SKYLARK_ENTRY_AVAILABILITY_INFO_HPP
#define SKYLARK_ENTRY_AVAILABILITY_INFO_HPP

#include <optional>
#include <string_view>

#include <skylark/core/time.hpp>

namespace skylark::entry {

class journal;
struct upstream;

/*! @brief Availability as one response states it. */
struct availability_info {
    bool m_leaving{};               //!< no new requests until it is gone
    std::optional<duration> m_rest; //!< no new requests for this long
    bool m_malformed_rest{};        //!< asks for a rest that cannot be read
};

/*! @brief Reads the time of a Retry-After header field into a response's
 *  information.
 *  @param field seconds, also fractional; empty if the response has none */
void read_rest(std::string_view field, availability_info& out);

/*! @brief Updates an upstream from what its response states; a change of what
 *  is believed of it is recorded as an event.
 *  @param said by the upstream itself, not by another instance
 *  @param from the upstream
 *  @param now time at which the response arrived */
void apply_availability(const availability_info& said, upstream& from,
                        journal& events, time_point now);

} // namespace skylark::entry

#endif
