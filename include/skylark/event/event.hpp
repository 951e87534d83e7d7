/*! @file
 *  Event: a state change, with its position in the time line of all entries. */
#ifndef SKYLARK_EVENT_EVENT_HPP
#define SKYLARK_EVENT_EVENT_HPP

#include <cstdint>
#include <string>
#include <string_view>

namespace skylark {

/*! @brief Subject area of a state change. */
enum class event_kind : std::uint8_t {
    started,
    settings,      //!< settings reloaded
    upstream,      //!< state or incarnation of an upstream changed
    member,        //!< set of live entries changed
    share,         //!< agreement on shares reached or lost
    configuration, //!< document adopted, refused or reverted
    zone,          //!< availability zone removed or restored
    drain,         //!< this process is shutting down
    pause,         //!< this process was suspended for some time
    isolation,     //!< store and majority both lost, or regained
    rollout,       //!< stage of or verdict on a roll-out
    request        //!< a verdict other than answered
};

/*! @brief Name of a kind in control responses and commands. */
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
    case event_kind::rollout:
        return "rollout";
    case event_kind::request:
        break;
    }
    return "request";
}

struct event {
    std::uint64_t m_stamp{};    //!< stamp of the hybrid logical clock
    std::uint64_t m_sequence{}; //!< number of the event in this process, from 1
    event_kind m_kind{};
    std::string m_subject; //!< object that changed
    std::string m_detail;  //!< description of the change
};

} // namespace skylark

#endif
