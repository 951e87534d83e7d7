/*! @file
 *  Member table: majority-based membership built from heartbeats.
 *
 *  A member is removed only when a majority of the view reports that it has
 *  not heard from the member for the hold-down time. The member itself stops
 *  using its shares earlier: when a majority has not acknowledged its
 *  heartbeats for the self-stop time, it lapses and continues under a new
 *  incarnation. */
#ifndef SKYLARK_MEMBER_TABLE_HPP
#define SKYLARK_MEMBER_TABLE_HPP

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <skylark/member/change.hpp>
#include <skylark/member/heartbeat.hpp>
#include <skylark/member/peer.hpp>
#include <skylark/member/timing.hpp>
#include <skylark/member/view.hpp>

namespace skylark {

/*! @brief Membership protocol state of one entry. */
class member_table {
public:
    /*! @param self this entry
     *  @param seeds peer addresses to contact first; the own one is ignored
     *  @param timing periods and timeouts
     *  @param now the present */
    member_table(const member_record& self, std::vector<address> seeds,
                 const member_timing& timing, time_point now);

    /*! @brief Adds peer addresses to contact, such as the platform's list. */
    void add_seeds(std::span<const address> seeds);

    /*! @brief Replaces the peer addresses that the platform lists. */
    void set_listed(std::span<const address> listed) {
        m_listed = {listed.begin(), listed.end()};
        m_listed.erase(m_self.m_contact.m_peer);
    }

    /*! @brief Runs one round: checks for a lapse and removes silent members.
     *  @param now the present
     *  @param settled whether no share is in use that the current view assigns
     *  to another member
     *  @param mark own configuration state
     *  @return heartbeats to send */
    std::vector<outgoing_heartbeat> tick(time_point now, bool settled,
                                         const config_mark& mark);

    /*! @brief Processes a received heartbeat.
     *  @param message the heartbeat
     *  @param now the present */
    void received(const heartbeat& message, time_point now);

    /*! @brief Handles a pause of the process: lapses, so that no share is
     *  claimed until a majority acknowledges again.
     *  @param gap length of the pause, which has just ended
     *  @param now the present */
    void paused(duration gap, time_point now);

    /*! @brief Starts a graceful leave; it is complete once tick() is called
     *  with no share in use. */
    void leave();

    /*! @brief Whether a majority has acknowledged within the self-stop time.
     *  @param now the present */
    [[nodiscard]] bool has_majority(time_point now) const;

    /*! @brief Whether all members have reported the current view and the
     *  release of the shares that it takes from them. */
    [[nodiscard]] bool agreed(time_point now) const;

    /*! @brief Members of this entry's availability zone that should watch the
     *  store, best first; only those heard from recently.
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id> own_zone_watchers(std::size_t count,
                                                          time_point now) const;

    [[nodiscard]] const member_view& view() const { return m_view; }
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

    /*! @brief Counter that increases whenever the view changes. */
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }

private:
    void lapse();
    void apply_record(const member_record& record, time_point now);
    void record_acknowledgement(member& from, const heartbeat& message);
    void remove(entry_id id, member_change::kind reason);
    void remove_silent(time_point now);
    static bool has_released(const member& peer);
    void rebuild_view(time_point now);
    void prune_history(time_point now);
    void become_active(time_point now);
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] bool majority_reports_silence(const member& peer,
                                                time_point now) const;
    [[nodiscard]] std::optional<time_point> majority_time() const;
    [[nodiscard]] std::vector<silence> own_silences(time_point now) const;
    [[nodiscard]] heartbeat message_for(const member* to, bool settled,
                                        const config_mark& mark,
                                        time_point now) const;

    struct sent_heartbeat {
        std::uint64_t m_sequence;
        time_point m_at;
    };
    struct past_view_size {
        time_point m_until;
        std::size_t m_size;
    };
    struct departed_member {
        std::uint64_t m_incarnation;
        time_point m_silent_since;
    };

    member_record m_self;
    member_timing m_timing;
    member_state m_state{member_state::joining};
    std::set<address> m_seeds;
    std::set<address> m_listed; // by the platform; contacted like the seeds
    std::size_t m_seed_count;
    std::map<entry_id, member> m_peers;
    // Invariant: holds m_self and every peer, except those that are leaving
    // and have released all their shares.
    member_view m_view;
    // Removed incarnations, which records from peers must not add again.
    std::map<entry_id, departed_member> m_departed;
    // Sizes of views replaced less than a hold-down ago. The quorum is a
    // majority of the largest, so that quorums overlap during a change.
    std::deque<past_view_size> m_recent_sizes;
    std::deque<sent_heartbeat> m_sent;
    std::uint64_t m_sequence{};
    std::uint32_t m_requests{};
    std::uint64_t m_epoch{1};
    // Invariant: false until a majority of the seeds or an active member
    // has acknowledged; until then the quorum counts the seeds as members.
    bool m_bootstrapped;
    bool m_had_majority{};
    bool m_released{}; // leaving, and no share is in use
    std::vector<member_change> m_changes;
};

} // namespace skylark

#endif
