// How far a request has come in an entry, for logs.
#ifndef SKYLARK_ENTRY_REQUEST_STAGE_HPP
#define SKYLARK_ENTRY_REQUEST_STAGE_HPP

#include <array>
#include <cstddef>
#include <string_view>

#include "entry/request.hpp"

namespace skylark::entry {

/*! @brief How far a request has come. */
enum class request_stage : std::uint8_t {
    queued,     //!< waits in the admission queue, or for a token
    probing,    //!< waits for load reports
    connecting, //!< an attempt has begun, no byte was sent
    sent,       //!< passed on to an upstream, no answer yet
    answering,  //!< the answer is being relayed
    finished    //!< its last byte was given to the caller's connection
};

inline constexpr std::array<std::string_view, 6> request_stage_names{
    "queued", "probing", "connecting", "sent", "answering", "finished"};

/*! @brief Name of a stage in logs. */
constexpr std::string_view name_of(request_stage stage) {
    return request_stage_names[static_cast<std::size_t>(stage)];
}

/*! @brief Stage of a request. */
inline request_stage stage_of(const request& of) {
    if (of.m_machine.done())
        return request_stage::finished;
    if (of.m_answering)
        return request_stage::answering;
    bool connecting = false;
    for (const auto& [key, item] : of.m_attempts) {
        if (item.m_sent)
            return request_stage::sent;
        connecting = true;
    }
    if (connecting)
        return request_stage::connecting;
    const bool waits = of.m_queued || of.m_token == token_state::awaited;
    return waits ? request_stage::queued : request_stage::probing;
}

/*! @brief Number of requests by stage. */
using stage_counts = std::array<std::size_t, request_stage_names.size()>;

} // namespace skylark::entry

#endif
