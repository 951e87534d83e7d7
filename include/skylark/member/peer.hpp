/*! @file
 *  State kept for each peer, and heartbeats to be sent. */
#ifndef SKYLARK_MEMBER_PEER_HPP
#define SKYLARK_MEMBER_PEER_HPP

#include <optional>
#include <vector>

#include <skylark/member/heartbeat.hpp>

namespace skylark {

/*! @brief State that this entry keeps for one peer. */
struct member {
    member_record m_record;
    member_state m_state{member_state::joining};
    //! Last evidence that it was alive; what others are told.
    time_point m_last_heard;
    //! Begin of its silence, not counting pauses of this process.
    time_point m_silent_since;
    bool m_heard_directly{}; //!< a heartbeat arrived from the peer itself
    std::uint64_t m_last_sequence{};
    //! Send time of the newest heartbeat of this entry that it acknowledged.
    std::optional<time_point> m_acknowledged;
    std::uint64_t m_view_hash{};
    std::uint64_t m_settled_hash{};
    config_mark m_config;
    std::uint32_t m_requests{};
    std::vector<silence> m_silent; //!< from the peer's newest heartbeat

    /*! @brief Time for which this process could have heard it and did not. */
    [[nodiscard]] duration silence_at(time_point now) const {
        return now - m_silent_since;
    }
};

/*! @brief A heartbeat to send, with its destinations. */
struct outgoing_heartbeat {
    std::vector<address> m_to; //!< all receive the same message
    heartbeat m_message;
    subscription m_scope{}; //!< of the reports in it
};

} // namespace skylark

#endif
