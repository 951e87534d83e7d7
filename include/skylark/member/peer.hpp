/*! @file
 *  A peer as an entry knows it, and a heartbeat on its way. */
#ifndef SKYLARK_MEMBER_PEER_HPP
#define SKYLARK_MEMBER_PEER_HPP

#include <optional>
#include <vector>

#include <skylark/member/heartbeat.hpp>

namespace skylark {

/*! @brief A peer as this entry knows it. */
struct member {
    member_record m_record;
    member_state m_state{member_state::joining};
    time_point m_heard;      //!< last evidence that it lives
    bool m_heard_directly{}; //!< whether any heartbeat came from it
    std::uint64_t m_last_sequence{};
    //! Sending time of the newest own heartbeat that it acknowledged.
    std::optional<time_point> m_acknowledged;
    std::uint64_t m_view_hash{};
    std::uint64_t m_settled_hash{};
    config_mark m_config;
    std::uint32_t m_requests{};
    std::vector<silence> m_silent; //!< its newest statement
};

/*! @brief One heartbeat on its way. */
struct outgoing_heartbeat {
    std::vector<address> m_to; //!< each gets the same message
    heartbeat m_message;
};

} // namespace skylark

#endif
