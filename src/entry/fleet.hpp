// Membership and shares of this entry: the protocol on its UDP socket.
#ifndef SKYLARK_ENTRY_FLEET_HPP
#define SKYLARK_ENTRY_FLEET_HPP

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include <skylark/allowance/message.hpp>
#include <skylark/member/roster.hpp>
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
    //! A message about tokens of rate limits.
    std::function<void(const allowance_message&)> m_tokens;
    //! Adds exposures of roll-outs to a heartbeat.
    std::function<void(outgoing_heartbeat&)> m_add_exposures;
    //! A heartbeat was heard that may contain exposures.
    std::function<void(const heartbeat&)> m_exposures;
};

/*! @brief Membership by agreement, with the shares that rest on it. */
struct agreement {
    agreement(const member_record& self, const settings& from, time_point now)
        : m_members{self, from.m_seeds, from.m_timing, now},
          m_shares{self.m_name.m_id} {}

    member_table m_members;
    share_table m_shares;
    std::uint64_t m_seen_epoch{};
    bool m_agreed{};
};

/*! @brief Runs the membership protocol. Where nothing is shared out among the
 *  entries, a roster takes the place of the agreement. */
class fleet {
public:
    fleet(io::event_loop& loop, const settings& from, journal& events,
          metrics& counts);

    /*! @brief Binds the socket and starts heartbeats. */
    parsed<void> start(fleet_hooks hooks);

    /*! @brief Slots of a limit that this entry may use right now. */
    [[nodiscard]] std::uint32_t usable(upstream_id upstream, share_kind kind,
                                       std::uint32_t slots) const;

    /*! @brief Who owns a slot of a limit; none without an agreement. */
    [[nodiscard]] std::optional<entry_id>
    owner(upstream_id upstream, share_kind kind, std::uint32_t slot) const;

    /*! @brief Whether a majority answers; always true without an agreement. */
    [[nodiscard]] bool has_majority() const;

    /*! @brief Whether it is this entry's turn to watch the store for others.
     */
    [[nodiscard]] bool is_watcher(time_point now) const;

    /*! @brief Whether it is this entry's turn to record what all decide; never
     *  with an agreement, under which the operators write the document. */
    [[nodiscard]] bool is_first(time_point now) const {
        const auto* of = std::get_if<roster>(&m_members);
        return of && of->is_first(now);
    }

    /*! @brief Whether this entry passes on what it hears to others. */
    [[nodiscard]] bool is_relay() const {
        const auto* of = std::get_if<roster>(&m_members);
        return of && of->is_relay();
    }

    /*! @brief Whether a peer is heard lately enough to name it to callers. */
    [[nodiscard]] bool live(const member& peer, time_point now) const;

    /*! @brief Entries among which limits are divided, this one included. */
    [[nodiscard]] std::size_t size() const;

    /*! @brief The process was paused; the pause has just ended.
     *  @param gap its length */
    void paused(duration gap);

    /*! @brief Stops using shares and tells the peers. */
    void leave();

    /*! @brief Sends heartbeats now, because there is something new. */
    void beat();

    /*! @brief Tells those that hear from this entry that its configuration has
     *  changed. An agreement tells it with the next heartbeat. */
    void announce_config();

    /*! @brief Whether this entry has heard no peer for a time although it knows
     *  some; never with an agreement, which then counts as isolated. */
    [[nodiscard]] bool cut_off(duration limit) const {
        const auto* of = std::get_if<roster>(&m_members);
        return of && of->cut_off(limit, io::event_loop::now());
    }

    /*! @brief Sends a message about tokens to a peer; drops it if the peer is
     *  not known. */
    void send_tokens(const outgoing_allowance& item);

    /*! @brief Members that may lend tokens: live and not shutting down, this
     *  entry included. */
    [[nodiscard]] std::vector<entry_id> live_members(time_point now) const;

    [[nodiscard]] const std::map<entry_id, member>& peers() const;
    [[nodiscard]] const member_record& self_record() const;
    [[nodiscard]] member_state state() const;
    [[nodiscard]] std::uint32_t requests() const;
    [[nodiscard]] entry_id self() const { return self_record().m_name.m_id; }
    void add_seeds(std::span<const address> seeds);
    /*! @brief Whether the settings name no other entry. */
    [[nodiscard]] bool single() const { return m_settings.m_seeds.empty(); }
    void set_listed(std::span<const address> listed);
    void set_requests(std::uint32_t count);

private:
    std::vector<outgoing_heartbeat> round(time_point now);
    void send(outgoing_heartbeat item);
    void receive(const io::datagram& item);
    // Handles a datagram about tokens; false if it is not one.
    bool receive_tokens(std::span<const std::uint8_t> bytes);
    void follow_view();
    void note_changes();

    io::event_loop& m_loop;
    settings m_settings;
    journal& m_events;
    metrics& m_counts;
    io::udp_socket m_socket;
    std::variant<agreement, roster> m_members;
    fleet_hooks m_hooks;
    bool m_leaving{};
};

/*! @brief An entry's id, from its name. */
entry_id id_of(std::string_view name);

} // namespace skylark::entry

#endif
