// Membership and shares of this entry: the protocol on its UDP socket.
#ifndef SKYLARK_ENTRY_FLEET_HPP
#define SKYLARK_ENTRY_FLEET_HPP

#include <functional>
#include <map>
#include <vector>

#include <skylark/member/table.hpp>
#include <skylark/share/table.hpp>

#include "entry/journal.hpp"
#include "entry/metrics.hpp"
#include "entry/settings.hpp"
#include "io/event_loop.hpp"
#include "io/udp_socket.hpp"

namespace skylark::entry {

/*! @brief What the fleet asks the rest of the entry, and tells it. */
struct fleet_hooks {
    //! Own configuration state, for heartbeats.
    std::function<config_mark()> m_mark;
    //! Reports that this entry passes on with this heartbeat.
    std::function<std::vector<load_digest>()> m_digests;
    //! A report that a peer passed on.
    std::function<void(const load_digest&)> m_digest;
    //! Whether no share is used beyond what is owned.
    std::function<bool()> m_settled;
    //! Shares may have changed: waiting requests can be looked at again.
    std::function<void()> m_changed;
    //! A peer's configuration state was heard.
    std::function<void(const member&)> m_peer_mark;
};

/*! @brief Runs the membership protocol and answers for shares. */
class fleet {
public:
    fleet(io::event_loop& loop, const settings& from, journal& events,
          metrics& counts);

    /*! @brief Binds the socket and starts heartbeats. */
    parsed<void> start(fleet_hooks hooks);

    /*! @brief Slots of a limit that this entry may use right now. */
    [[nodiscard]] std::uint32_t usable(upstream_id upstream, share_kind kind,
                                       std::uint32_t slots) const;

    [[nodiscard]] bool has_majority() const;

    /*! @brief The process was paused. */
    void paused();

    /*! @brief Stops using shares and tells the peers. */
    void leave();

    [[nodiscard]] const member_table& members() const { return m_members; }
    [[nodiscard]] const share_table& shares() const { return m_shares; }
    [[nodiscard]] entry_id self() const { return m_members.self().m_name.m_id; }
    void add_seeds(std::span<const address> seeds) {
        m_members.add_seeds(seeds);
    }
    void set_listed(std::span<const address> listed) {
        m_members.set_listed(listed);
    }
    void set_requests(std::uint32_t count) { m_members.set_requests(count); }

private:
    void beat();
    void receive(std::span<const std::uint8_t> bytes);
    void follow_view();
    void note_changes();

    io::event_loop& m_loop;
    settings m_settings;
    journal& m_events;
    metrics& m_counts;
    io::udp_socket m_socket;
    member_table m_members;
    share_table m_shares;
    fleet_hooks m_hooks;
    std::uint64_t m_seen_epoch{};
    bool m_agreed{};
    bool m_leaving{};
};

/*! @brief An entry's id, from its name. */
entry_id id_of(std::string_view name);

} // namespace skylark::entry

#endif
