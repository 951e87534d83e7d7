/*! @file
 *  Roster: tracks live members with a linear number of messages.
 *
 *  Each member sends heartbeats to the two relays of its availability zone,
 *  which report on all members in return; relays of different zones report on
 *  their own zone to each other. Relays are the members of a zone that rank
 *  first by capacity and rendezvous score. Any member that is addressed as a
 *  relay acts as one, so relays need no agreement. With n members in z zones a
 *  round takes about 4n + z^2 messages instead of n^2.
 *
 *  Rosters of two members may differ; no code may rely on equal rosters. */
#ifndef SKYLARK_MEMBER_ROSTER_HPP
#define SKYLARK_MEMBER_ROSTER_HPP

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include <skylark/member/change.hpp>
#include <skylark/member/heartbeat.hpp>
#include <skylark/member/peer.hpp>
#include <skylark/member/roster_timing.hpp>

namespace skylark {

/*! @brief Roster protocol state of one entry. Does no I/O: the caller passes in
 *  received heartbeats and the time, and sends the heartbeats returned. */
class roster {
public:
    /*! @param self this entry
     *  @param seeds heartbeat addresses to contact first
     *  @param timing periods, timeouts and limits */
    roster(const member_record& self, std::vector<address> seeds,
           const roster_timing& timing);

    /*! @brief Adds heartbeat addresses to contact. */
    void add_seeds(std::span<const address> seeds);

    /*! @brief Replaces the heartbeat addresses that the platform lists. */
    void set_listed(std::span<const address> listed);

    /*! @brief Runs one round.
     *  @param now the present
     *  @param mark own configuration state
     *  @return heartbeats to send */
    std::vector<outgoing_heartbeat> tick(time_point now,
                                         const config_mark& mark);

    /*! @brief Processes a received heartbeat.
     *  @param message the heartbeat
     *  @param arrived earliest time at which it can have arrived
     *  @param now the present */
    void received(const heartbeat& message, time_point arrived, time_point now);

    /*! @brief Heartbeat that announces this entry's configuration to a member
     *  that has none yet, so that it need not wait for the next round.
     *  @param from its heartbeat
     *  @param mark own configuration state
     *  @return none if the sender has a configuration or this entry has none */
    [[nodiscard]] std::optional<outgoing_heartbeat>
    config_announcement(const heartbeat& from, const config_mark& mark);

    /*! @brief Heartbeat that announces a change of this entry's configuration
     *  to all that hear from it, so that it need not wait for the next round.
     *  @param mark own configuration state
     *  @param now the present */
    [[nodiscard]] outgoing_heartbeat
    change_announcement(const config_mark& mark, time_point now);

    /*! @brief Whether no peer has been heard for a time, although some are
     *  known: what they know does not reach this entry.
     *  @param limit longest silence
     *  @param now the present */
    [[nodiscard]] bool cut_off(duration limit, time_point now) const {
        return !m_peers.empty() && now - m_last_received > limit;
    }

    /*! @brief Handles a pause of the process: silence during the pause is no
     *  evidence of failure. It is no evidence of life either, so what others
     *  are told about the peers does not change.
     *  @param gap length of the pause, which has just ended
     *  @param now the present */
    void paused(duration gap, time_point now);

    /*! @brief Starts a graceful leave. */
    void leave() { m_state = member_state::leaving; }

    /*! @brief Whether there is recent evidence that a member is alive, and no
     *  relay reports its heartbeats as missed. */
    [[nodiscard]] bool live(const member& of, time_point now) const;

    /*! @brief Number of members live in the last round, this entry included. */
    [[nodiscard]] std::size_t live_count() const { return m_live_count; }

    /*! @brief Relays of a zone, best first.
     *  @param zone hash of its name
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id>
    relays_of(std::uint64_t zone, std::size_t count, time_point now) const;

    /*! @brief Members of a zone that should watch the store for it, best first:
     *  ranked like relays, but those that the store does not answer come after
     *  the others.
     *  @param zone hash of its name
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id>
    watchers_of(std::uint64_t zone, std::size_t count, time_point now) const;

    /*! @brief Whether this entry is the first live member by capacity and
     *  rendezvous score, those that the store does not answer coming last. The
     *  first member is a relay of its zone. Others may consider themselves
     *  first too. */
    [[nodiscard]] bool is_first(time_point now) const;

    /*! @brief Whether this entry considers itself a relay of its zone. */
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

    /*! @brief Whether all known members are in this entry's zone. */
    [[nodiscard]] bool single_zone() const;

    [[nodiscard]] const member_record& self() const { return m_self; }
    [[nodiscard]] member_state state() const { return m_state; }
    [[nodiscard]] const std::map<entry_id, member>& peers() const {
        return m_peers;
    }
    [[nodiscard]] std::uint32_t requests() const { return m_requests; }
    void set_requests(std::uint32_t count) { m_requests = count; }

    /*! @brief Returns the changes since the last call and clears them. */
    std::vector<member_change> take_changes() {
        return std::exchange(m_changes, {});
    }

private:
    // Protocol state between this entry and one peer, in both directions.
    struct link_state {
        // Oldest unanswered subscription to the peer as a relay.
        std::optional<time_point> m_unanswered_since;
        // Not chosen as a relay until then, as it did not answer in time.
        time_point m_avoid_until;
        // Newest subscription received from the peer.
        std::optional<time_point> m_last_subscribed;
        // First subscription of the current unbroken series.
        time_point m_subscribed_since;
        bool m_missed{};             // see member_report
        subscription m_wants{};      // what the peer subscribes to here
        std::uint64_t m_view_hash{}; // of the peer's view in that scope
    };

    // Key of a group of receivers that get the same message.
    struct receiver_group {
        subscription m_wanted{};  // what this entry subscribes to
        std::uint64_t m_zone{};   // of the receivers, if m_wanted is set
        subscription m_reports{}; // scope of the reports sent
        bool m_records{};         // include contacts, as views differ
        bool m_referral{};        // reports on relays only, with contacts

        auto operator<=>(const receiver_group&) const = default;
    };

    // Evidence that a member was alive.
    struct evidence {
        std::uint64_t m_sequence{}; // of its heartbeat; 0: not known
        time_point m_heard;         // earliest time of arrival
        // Start of the silence after it; differs from m_heard by the time for
        // which this process was paused since.
        time_point m_silent_since;
    };

    // Newest heartbeat of a removed member. Copies of its heartbeats that
    // arrive late do not add it again.
    struct removed_member {
        member_name m_name;
        std::uint64_t m_sequence{};
        time_point m_at; // of its removal
    };

    // Role for which the members of a zone are ranked.
    enum class ranked_role : std::uint8_t { relay, watch };

    [[nodiscard]] std::vector<entry_id> ranked(std::uint64_t zone,
                                               std::size_t count,
                                               ranked_role wanted,
                                               time_point now) const;
    void remove_expired(time_point now);
    [[nodiscard]] bool was_removed(const member_name& name,
                                   std::uint64_t sequence) const;
    void choose_relays(time_point now);
    [[nodiscard]] bool is_subscribed(const link_state& from,
                                     time_point now) const;
    void apply_report(const member_record& record, const member_report& report,
                      const evidence& of);
    void mark_missed(time_point now);
    [[nodiscard]] std::set<std::uint64_t> other_zones() const;
    [[nodiscard]] bool avoided(entry_id key, time_point now) const;
    [[nodiscard]] heartbeat message_for(const receiver_group& group,
                                        const config_mark& mark,
                                        time_point now) const;
    void add_referral(heartbeat& out, time_point now) const;
    [[nodiscard]] bool needs_referral(const member& peer, const link_state& to,
                                      time_point now) const;
    [[nodiscard]] member_report report_on(const member& peer,
                                          time_point now) const;
    [[nodiscard]] std::uint64_t hash_of(subscription scope,
                                        std::uint64_t zone) const;
    [[nodiscard]] std::vector<address> next_discovery_targets();

    member_record m_self;
    roster_timing m_timing;
    member_state m_state{member_state::active};
    std::uint32_t m_requests{};
    std::set<address> m_seeds;
    std::set<address> m_listed;
    std::map<entry_id, member> m_peers;
    // Invariant: has a key for each of m_peers and no other.
    std::map<entry_id, link_state> m_links;
    std::map<entry_id, removed_member> m_removed;
    // Relays that this entry subscribes to, and the scope of each.
    std::map<entry_id, subscription> m_relays;
    bool m_is_relay{true};
    bool m_store_lost{};
    time_point m_last_received; // of any heartbeat
    std::uint64_t m_round{};
    std::uint64_t m_sequence{}; // of the last heartbeats
    std::size_t m_live_count{1};
    // A member changed since the last round, so reports are due.
    bool m_changed{};
    address m_discovery_cursor; // last address contacted for discovery
    std::vector<member_change> m_changes;
};

} // namespace skylark

#endif
