/*! @file
 *  Change of a member, for events. */
#ifndef SKYLARK_MEMBER_CHANGE_HPP
#define SKYLARK_MEMBER_CHANGE_HPP

#include <cstdint>

#include <skylark/member/heartbeat.hpp>

namespace skylark {

/*! @brief A change of who is a member. */
struct member_change {
    enum class kind : std::uint8_t { joined, left, gone, replaced, lapsed };
    kind m_kind;
    member_name m_name;
};

} // namespace skylark

#endif
