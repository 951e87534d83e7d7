/*! @file
 *  Roll-outs at this entry: which version a request may use, what came of it,
 *  and the exposures in heartbeats. */
#ifndef SKYLARK_ENTRY_ROLLOUTS_HPP
#define SKYLARK_ENTRY_ROLLOUTS_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/random.hpp>
#include <skylark/member/peer.hpp>
#include <skylark/rollout/ledger.hpp>
#include <skylark/rollout/plan.hpp>
#include <skylark/verdict/verdict.hpp>

#include "entry/request.hpp"
#include "entry/upstream.hpp"

namespace skylark::entry {

struct context;

/*! @brief State of one order at this entry. */
struct rollout_state {
    rollout_order m_order;
    std::uint64_t m_key{}; //!< see order_key()
    time_point m_began;    //!< when the order counts as given
    exposure m_own;        //!< of this entry
    exposure_ledger m_ledger;
    rollout_judge m_judge;
    rollout_verdict m_verdict{};
    traffic_plan m_plan;
    std::vector<upstream_id> m_canaries; //!< see choose_canaries()
    //! Whether an upstream of another version is listed and not leaving.
    bool m_has_earlier{};

    /*! @brief Whether no request goes to the earlier version. Until that is
     *  recorded, it takes the requests while no target upstream is usable. */
    [[nodiscard]] bool earlier_closed() const {
        return !m_plan.m_earlier_allowed &&
               (m_order.m_stage == rollout_stage::completed ||
                !m_canaries.empty());
    }

    [[nodiscard]] rollout_times times(time_point now) const {
        return {now - m_began, m_order.m_duration};
    }
};

/*! @brief All orders at this entry. Without an order for a service each of its
 *  upstreams is allowed and nothing is counted or sent. */
class rollouts {
public:
    explicit rollouts(context& shared) : m_shared{shared} {}

    /*! @brief Takes over the orders of the document in force, and the
     *  upstreams of the present list. */
    void adopt();

    /*! @brief Judges on the present sums; to be called several times a second.
     *  @return whether a version was found bad just now */
    bool judge();

    /*! @brief Draws the version for a new request of a service and counts the
     *  request.
     *  @param random source of the draw */
    version_choice draw(std::string_view service, random_source& random);

    /*! @brief Whether a request may use an upstream now. */
    [[nodiscard]] bool admits(const request& of, const upstream& item) const;

    /*! @brief Leaves a request to the earlier version, as the target has no
     *  room for it.
     *  @return false if it may not or does so already */
    bool fall_back(request& of) const;

    /*! @brief An attempt begins. In the canary, repeats of the request go to
     *  the earlier version. */
    void attempt_began(request& of, const upstream& target);

    /*! @brief The head of a response has arrived that is no refusal.
     *  @param sent the attempt
     *  @param response_report load report in the response
     *  @param failure whether its status is a failure */
    void answered(const request& of, const attempt& sent,
                  const upstream& target,
                  const std::optional<load_report>& response_report,
                  bool failure);

    /*! @brief An attempt has ended without a complete response.
     *  @param how what is known of it; only one that may have run counts */
    void broken(const request& of, const attempt& sent, const upstream& target,
                const verdict& how);

    /*! @brief This entry has ended an attempt; counts if it was slow. */
    void cancelled(const request& of, const attempt& sent,
                   const upstream& target);

    /*! @brief Adds exposures to a heartbeat. */
    void add_to(outgoing_heartbeat& out);

    /*! @brief Takes the exposures of a heartbeat. */
    void heard(const heartbeat& message);

    /*! @brief Whether no entry has a request at the earlier version of an order
     *  or sends one there, as far as all known members report. */
    [[nodiscard]] bool earlier_drained(const rollout_state& of) const;

    [[nodiscard]] std::map<std::string, rollout_state, std::less<>>& all() {
        return m_states;
    }
    [[nodiscard]] const std::map<std::string, rollout_state, std::less<>>&
    all() const {
        return m_states;
    }

private:
    [[nodiscard]] const rollout_state* find(std::string_view service) const;
    [[nodiscard]] rollout_state* find(std::string_view service);
    [[nodiscard]] rollout_state* counting(std::string_view service,
                                          const attempt& sent);
    [[nodiscard]] static version_choice effective(const rollout_state& state,
                                                  version_choice drawn);
    void begin(rollout_state& state, const rollout_order& order);
    void follow_upstreams(rollout_state& state, time_point now);
    bool judge(rollout_state& state, time_point now);
    void add_reports(std::vector<member_report>& to, std::size_t left);
    [[nodiscard]] rollout_state* find_order(std::uint64_t key);
    void take(const reporter& from, const std::vector<exposure>& list);
    void note(const rollout_state& state, std::string_view what);
    static version_counts& counts_of(rollout_state& state, const request& of,
                                     const upstream& target);
    static void mark_bad(rollout_state& state, const upstream& target);

    context& m_shared;
    std::map<std::string, rollout_state, std::less<>> m_states; // by service
    std::uint64_t m_report_cursor{}; // member whose report was sent last
};

} // namespace skylark::entry

#endif
