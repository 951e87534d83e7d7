/*! @file
 *  Heartbeat: the one message between entries, sent over UDP. */
#ifndef SKYLARK_MEMBER_HEARTBEAT_HPP
#define SKYLARK_MEMBER_HEARTBEAT_HPP

#include <cstdint>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>

namespace skylark {

/*! @brief What an entry says about its own part in the fleet. */
enum class member_state : std::uint8_t { joining, active, leaving };

/*! @brief Name of a state in answers and events. */
constexpr std::string_view name_of(member_state state) {
    switch (state) {
    case member_state::joining:
        return "joining";
    case member_state::active:
        return "active";
    case member_state::leaving:
        break;
    }
    return "leaving";
}

/*! @brief One life of one entry. */
struct member_name {
    entry_id m_id;
    std::uint64_t m_incarnation{}; //!< grows with each start and each lapse

    auto operator<=>(const member_name&) const = default;
};

/*! @brief How to reach an entry. */
struct member_contact {
    address m_peer;         //!< UDP heartbeats
    address m_callers;      //!< HTTP for callers
    address m_control;      //!< HTTP for operators and peers
    std::uint64_t m_zone{}; //!< hash of the availability zone's name
    //! Processor time that the entry may use, in percent of a core.
    std::uint32_t m_capacity{};

    bool operator==(const member_contact&) const = default;
};

/*! @brief A member as gossip carries it. */
struct member_record {
    member_name m_name;
    member_contact m_contact;
};

/*! @brief How long a member has not been heard by the sender. */
struct silence {
    member_name m_name;
    duration m_age{};
};

/*! @brief What a sender wants to hear from the receiver. */
enum class subscription : std::uint8_t {
    nothing, //!< its heartbeats are enough
    zone,    //!< reports on the receiver's availability zone
    fleet    //!< reports on all members
};

/*! @brief What a relay knows of a third member. */
struct member_report {
    member_name m_name;
    duration m_age{}; //!< since the last evidence that it lives
    //! Its heartbeats have stopped, at the relay where they were expected.
    bool m_missed{};
    member_state m_state{};
    std::uint64_t m_revision{}; //!< of its configuration; 0: none yet
    std::uint32_t m_requests{}; //!< that it is serving
    bool m_store_lost{};        //!< see config_mark
};

/*! @brief A load report passed on. */
struct load_digest {
    upstream_id m_upstream;
    load_report m_report;
    duration m_age{};
};

/*! @brief What each entry knows of configuration, for comparison. */
struct config_mark {
    std::uint64_t m_revision{};  //!< 0: none adopted yet
    std::uint64_t m_instances{}; //!< index of the instance list
    //! Time since the store, or a chain of peers to it, confirmed this.
    duration m_confirmed_age{};
    //! The store does not answer this entry, so another one should watch it.
    bool m_store_lost{};
};

/*! @brief The message. */
struct heartbeat {
    member_record m_sender;
    member_state m_state{};
    std::uint64_t m_sequence{};
    std::uint64_t m_acknowledged{}; //!< receiver's last sequence heard
    std::uint64_t m_acknowledged_incarnation{};
    std::uint64_t m_view_hash{};
    std::uint64_t m_settled_hash{}; //!< view whose releases are all done
    std::uint64_t m_clock{};        //!< hybrid logical clock of the sender
    config_mark m_config;
    std::uint32_t m_requests{}; //!< requests that the sender is serving
    std::vector<silence> m_silent;
    std::vector<member_record> m_members; //!< only when views differ
    std::vector<load_digest> m_loads;
    subscription m_wants{};
    std::vector<member_report> m_reports; //!< for subscribers
};

} // namespace skylark

#endif
