/*! @file
 *  Member table: heartbeats in, heartbeats and views out.
 *
 *  A member is removed only when a majority of the view says that it has not
 *  heard the member for the hold-down. The member itself stops using its
 *  shares earlier, when a majority has not acknowledged its heartbeats for
 *  the self-stop time; it then goes on under a new incarnation. */
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

/*! @brief State of the protocol in one entry. */
class member_table {
public:
    /*! @param self this entry
     *  @param seeds peer addresses to begin with, own one excluded
     *  @param timing periods and limits
     *  @param now the present */
    member_table(const member_record& self, std::vector<address> seeds,
                 const member_timing& timing, time_point now);

    /*! @brief Adds peer addresses to try, such as the platform's list. */
    void add_seeds(std::span<const address> seeds);

    /*! @brief Sets the addresses that the platform lists at present. */
    void set_listed(std::span<const address> listed) {
        m_listed = {listed.begin(), listed.end()};
        m_listed.erase(m_self.m_contact.m_peer);
    }

    /*! @brief Periodic work: lapse, removal, and the heartbeats to send.
     *  @param now the present
     *  @param settled whether no share is used that the view takes away
     *  @param mark own configuration state */
    std::vector<outgoing_heartbeat> tick(time_point now, bool settled,
                                         const config_mark& mark);

    /*! @brief Takes one heartbeat in.
     *  @param message the heartbeat
     *  @param now the present */
    void received(const heartbeat& message, time_point now);

    /*! @brief The process was paused: claim nothing until peers agree. */
    void paused(time_point now);

    /*! @brief Begins a graceful leave; tick() tells when shares are unused. */
    void leave();

    /*! @brief Whether a majority has acknowledged recently.
     *  @param now the present */
    [[nodiscard]] bool has_majority(time_point now) const;

    /*! @brief Whether all members have reported the present view and that
     *  they released what it takes from them. */
    [[nodiscard]] bool agreed(time_point now) const;

    /*! @brief First members of this entry's availability zone that were heard
     *  lately, best first.
     *  @param count how many
     *  @param now the present */
    [[nodiscard]] std::vector<entry_id> first_of_zone(std::size_t count,
                                                      time_point now) const;

    [[nodiscard]] const member_view& view() const { return m_view; }
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

    /*! @brief Number that grows whenever the view changes or lapses. */
    [[nodiscard]] std::uint64_t epoch() const { return m_epoch; }

private:
    void lapse();
    void learn(const member_record& record, time_point now);
    void acknowledge(member& from, const heartbeat& message);
    void remove(entry_id gone, member_change::kind why);
    void remove_silent(time_point now);
    static bool has_released(const member& peer);
    void rebuild_view(time_point now);
    void forget_old(time_point now);
    void become_active(time_point now);
    [[nodiscard]] std::size_t quorum() const;
    [[nodiscard]] bool majority_misses(const member& whom,
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
    struct sized_view {
        time_point m_until;
        std::size_t m_size;
    };
    struct departed {
        std::uint64_t m_incarnation;
        time_point m_heard;
    };

    member_record m_self;
    member_timing m_timing;
    member_state m_state{member_state::joining};
    std::set<address> m_seeds;
    std::set<address> m_listed; // by the platform; tried like the seeds
    std::size_t m_seed_count;
    std::map<entry_id, member> m_peers;
    // Invariant: names m_self and every peer that has not left with all its
    // shares released.
    member_view m_view;
    // Lives of members that must not come back by gossip.
    std::map<entry_id, departed> m_departed;
    // Sizes of views that are not yet a hold-down old: the quorum counts
    // against the largest, so that two counts during a change overlap.
    std::deque<sized_view> m_recent_sizes;
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
