/*! @file
 *  Heartbeat message that entries exchange over UDP. */
#ifndef SKYLARK_MEMBER_HEARTBEAT_HPP
#define SKYLARK_MEMBER_HEARTBEAT_HPP

#include <cstdint>
#include <vector>

#include <skylark/config/config_order.hpp>
#include <skylark/core/address.hpp>
#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>
#include <skylark/rollout/exposure.hpp>

namespace skylark {

/*! @brief Lifecycle state that an entry announces. */
enum class member_state : std::uint8_t { joining, active, leaving };

/*! @brief Name of a state as used in responses and events. */
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

/*! @brief Identifies one incarnation of an entry. */
struct member_name {
    entry_id m_id;
    std::uint64_t m_incarnation{}; //!< increases with each start and lapse

    auto operator<=>(const member_name&) const = default;
};

/*! @brief Addresses, zone and capacity of an entry. */
struct member_contact {
    address m_peer;         //!< UDP heartbeats
    address m_callers;      //!< HTTP for callers
    address m_control;      //!< HTTP for operators and peers
    std::uint64_t m_zone{}; //!< hash of the availability zone's name
    //! Processor time that the entry may use, in percent of a core.
    std::uint32_t m_capacity{};

    bool operator==(const member_contact&) const = default;
};

/*! @brief Member identity and contact, as passed on by peers. */
struct member_record {
    member_name m_name;
    member_contact m_contact;
};

/*! @brief Time since the sender last heard from a member. */
struct silence {
    member_name m_name;
    duration m_age{};
};

/*! @brief Member reports that the sender requests from the receiver. */
enum class subscription : std::uint8_t {
    nothing, //!< heartbeats only, no reports
    zone,    //!< reports on members of the receiver's availability zone
    fleet    //!< reports on all members
};

/*! @brief A relay's report on another member. */
struct member_report {
    member_name m_name;
    duration m_age{}; //!< since the last evidence that it was alive
    //! The relay that it subscribed to no longer receives its heartbeats.
    bool m_missed{};
    member_state m_state{};
    store_position m_revision;  //!< of its configuration, see config_mark
    std::uint32_t m_requests{}; //!< in progress at the member
    bool m_store_lost{};        //!< see config_mark
    std::uint64_t m_version{};  //!< see config_mark
    std::vector<exposure> m_exposures{}; //!< of the member, see heartbeat
    //! Of the newest known heartbeat of the member; 0 if the sender is of a
    //! version that does not report it.
    std::uint64_t m_sequence{};
};

/*! @brief An upstream's load report, forwarded by a peer. */
struct load_digest {
    upstream_id m_upstream;
    load_report m_report;
    duration m_age{};
};

/*! @brief State of an entry's configuration, compared between peers. */
struct config_mark {
    store_position m_revision;  //!< 0: none adopted yet
    store_position m_instances; //!< index of the instance list
    //! Time since the store confirmed this, directly or through peers.
    duration m_confirmed_age{};
    //! The store does not answer this entry, so another entry should watch the
    //! store instead.
    bool m_store_lost{};
    std::uint64_t m_version{}; //!< see config_order

    [[nodiscard]] config_order order() const { return {m_version, m_revision}; }
};

/*! @brief One heartbeat message. */
struct heartbeat {
    member_record m_sender;
    member_state m_state{};
    std::uint64_t m_sequence{};
    std::uint64_t m_acknowledged{}; //!< last sequence seen from the receiver
    std::uint64_t m_acknowledged_incarnation{};
    std::uint64_t m_view_hash{};
    //! Hash of the view whose share releases are complete; 0: none.
    std::uint64_t m_settled_hash{};
    std::uint64_t m_clock{}; //!< hybrid logical clock of the sender
    config_mark m_config;
    std::uint32_t m_requests{}; //!< requests in progress at the sender
    std::vector<silence> m_silent;
    std::vector<member_record> m_members; //!< sent only when the views differ
    std::vector<load_digest> m_loads;
    subscription m_wants{};
    std::vector<member_report> m_reports; //!< for subscribers
    //! Of the sender, one for each order in progress.
    std::vector<exposure> m_exposures;
    //! Sums over all entries as the sender knows them, for subscribers to the
    //! fleet.
    std::vector<exposure> m_exposure_sums;
};

} // namespace skylark

#endif
