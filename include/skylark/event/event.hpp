/*! @file
 *  Event: a change of state, with its place in the time line. */
#ifndef SKYLARK_EVENT_EVENT_HPP
#define SKYLARK_EVENT_EVENT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace skylark {

/*! @brief What changed. */
enum class event_kind : std::uint8_t {
    started,
    settings,      //!< read again
    upstream,      //!< an upstream's state or incarnation
    member,        //!< the set of live entries
    share,         //!< agreement reached or lost
    configuration, //!< adopted, refused or reverted document
    zone,          //!< an availability zone taken out or brought back
    drain,         //!< this process leaves
    pause,         //!< this process did not run for a while
    isolation,     //!< neither store nor majority, or reached again
    request        //!< a verdict other than answered
};

/*! @brief Name of a kind in answers and commands. */
constexpr std::string_view name_of(event_kind kind) {
    switch (kind) {
    case event_kind::started:
        return "started";
    case event_kind::settings:
        return "settings";
    case event_kind::upstream:
        return "upstream";
    case event_kind::member:
        return "member";
    case event_kind::share:
        return "share";
    case event_kind::configuration:
        return "configuration";
    case event_kind::zone:
        return "zone";
    case event_kind::drain:
        return "drain";
    case event_kind::pause:
        return "pause";
    case event_kind::isolation:
        return "isolation";
    case event_kind::request:
        break;
    }
    return "request";
}

/*! @brief One event. */
struct event {
    std::uint64_t m_stamp{};    //!< hybrid logical clock
    std::uint64_t m_sequence{}; //!< counts this process's events from 1
    event_kind m_kind{};
    std::string m_subject; //!< what it is about
    std::string m_detail;  //!< what happened
};

} // namespace skylark

#endif
