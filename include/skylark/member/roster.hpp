/*! @file
 *  Roster: who lives, learnt from few messages.
 *
 *  Each member sends heartbeats to the two relays of its availability zone,
 *  which report on all members in return; relays of different zones report on
 *  their own zone to each other. Relays are the first members of a zone by
 *  capacity and rendezvous score, and whoever is taken for one acts as one, so
 * that nothing has to be agreed on. With n members in z zones a round takes
 * about 4n + z^2 messages instead of n^2.
 *
 *  Nothing may depend on two members having the same roster. */
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

/*! @brief State of the protocol in one entry. Pure: heartbeats and time come
 *  in, heartbeats go out. */
class roster {
public:
    /*! @param self this entry
     *  @param seeds heartbeat addresses to begin with
     *  @param timing periods and limits */
    roster(const member_record& self, std::vector<address> seeds,
           const roster_timing& timing);

    /*! @brief Adds heartbeat addresses to try. */
    void add_seeds(std::span<const address> seeds);

    /*! @brief Sets the heartbeat addresses that the platform lists. */
    void set_listed(std::span<const address> listed);

    /*! @brief Periodic work, and the heartbeats to send.
     *  @param now the present
     *  @param mark own configuration state */
    std::vector<outgoing_heartbeat> tick(time_point now,
                                         const config_mark& mark);

    /*! @brief Takes one heartbeat in.
     *  @param message the heartbeat
     *  @param now the present */
    void received(const heartbeat& message, time_point now);

    /*! @brief Answer to a member that has no configuration yet, so that it
     *  need not wait for the next round.
     *  @param from its heartbeat
     *  @param mark own configuration state
     *  @return none when there is nothing to tell */
    [[nodiscard]] std::optional<outgoing_heartbeat>
    greeting(const heartbeat& from, const config_mark& mark) const;

    /*! @brief The process was paused: silence meanwhile proves nothing. */
    void paused(time_point now);

    /*! @brief Begins a graceful leave. */
    void leave() { m_state = member_state::leaving; }

    /*! @brief Whether a member has been heard, and is not missed at the relay
     *  that expects its heartbeats. */
    [[nodiscard]] bool live(const member& of, time_point now) const;

    /*! @brief Members that were live in the last round, this one included. */
    [[nodiscard]] std::size_t live_count() const { return m_live_count; }

    /*! @brief First members of a zone, best first; they relay for it.
     *  @param zone hash of its name
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id>
    first_of(std::uint64_t zone, std::size_t count, time_point now) const;

    /*! @brief Members of a zone that should watch the store for it, best first:
     *  its relays, and others in place of those that the store does not answer.
     *  @param zone hash of its name
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id>
    watchers_of(std::uint64_t zone, std::size_t count, time_point now) const;

    /*! @brief Whether this entry relays for its zone, as far as it knows. */
    [[nodiscard]] bool is_relay() const { return m_is_relay; }

    /*! @brief Whether only one zone is known. */
    [[nodiscard]] bool single_zone() const;

    [[nodiscard]] const member_record& self() const { return m_self; }
    [[nodiscard]] member_state state() const { return m_state; }
    [[nodiscard]] const std::map<entry_id, member>& peers() const {
        return m_peers;
    }
    [[nodiscard]] std::uint32_t requests() const { return m_requests; }
    void set_requests(std::uint32_t count) { m_requests = count; }

    /*! @brief Hands out the changes since the last call. */
    std::vector<member_change> take_changes() {
        return std::exchange(m_changes, {});
    }

private:
    // What passes between this entry and one peer, in both directions.
    struct link {
        std::optional<time_point> m_asked; // unanswered since then
        time_point m_avoid_until;          // it did not answer in time
        std::optional<time_point> m_subscribed;
        time_point m_subscribed_first; // of this series
        bool m_missed{};               // see member_report
        subscription m_wants{};        // of the peer, from this entry
        std::uint64_t m_view_hash{};   // of the peer, in that scope
    };

    // Receivers of one message, by what it says to them.
    struct addressees {
        subscription m_wanted{};  // of them, by this entry
        std::uint64_t m_zone{};   // theirs, if something is wanted
        subscription m_reports{}; // that they get
        bool m_records{};         // with the contacts that they lack
        bool m_referral{};        // on relays only, with their contacts

        auto operator<=>(const addressees&) const = default;
    };

    // What members of a zone are ranked for.
    enum class duty : std::uint8_t { relay, watch };

    [[nodiscard]] std::vector<entry_id> ranked(std::uint64_t zone,
                                               std::size_t count, duty wanted,
                                               time_point now) const;
    void forget_silent(time_point now);
    void choose_relays(time_point now);
    void learn(const member_record& record, const member_report& said,
               time_point heard);
    void miss_silent(time_point now);
    [[nodiscard]] std::set<std::uint64_t> other_zones() const;
    [[nodiscard]] bool avoided(entry_id key, time_point now) const;
    [[nodiscard]] heartbeat message_for(const addressees& group,
                                        const config_mark& mark,
                                        time_point now) const;
    void add_referral(heartbeat& out, time_point now) const;
    [[nodiscard]] bool refers(const member& peer, const link& to,
                              time_point now) const;
    [[nodiscard]] member_report report_on(const member& peer,
                                          time_point now) const;
    [[nodiscard]] std::uint64_t hash_of(subscription scope,
                                        std::uint64_t zone) const;
    [[nodiscard]] std::vector<address> next_unknown();

    member_record m_self;
    roster_timing m_timing;
    member_state m_state{member_state::active};
    std::uint32_t m_requests{};
    std::set<address> m_seeds;
    std::set<address> m_listed;
    std::map<entry_id, member> m_peers;
    // Invariant: has a key for each of m_peers and no other.
    std::map<entry_id, link> m_links;
    // Whom this entry wants reports from, and on what.
    std::map<entry_id, subscription> m_relays;
    bool m_is_relay{true};
    bool m_store_lost{};
    std::uint64_t m_round{};
    std::size_t m_live_count{1};
    bool m_news{};      // a member came, changed or went since the last round
    address m_next_try; // where the next search for unknown members begins
    std::vector<member_change> m_changes;
};

} // namespace skylark

#endif
