/*! @file
 *  Membership change, reported as an event. */
#ifndef SKYLARK_MEMBER_CHANGE_HPP
#define SKYLARK_MEMBER_CHANGE_HPP

#include <cstdint>

#include <skylark/member/heartbeat.hpp>

namespace skylark {

/*! @brief One membership change. */
struct member_change {
    enum class kind : std::uint8_t {
        joined,   //!< seen for the first time
        left,     //!< removed after a graceful leave
        gone,     //!< removed because it was silent
        replaced, //!< seen under another incarnation
        lapsed    //!< this entry continues under a new incarnation
    };
    kind m_kind;
    member_name m_name;
};

} // namespace skylark

#endif
