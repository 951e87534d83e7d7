// State of one request in an entry, with its attempts.
#ifndef SKYLARK_ENTRY_REQUEST_HPP
#define SKYLARK_ENTRY_REQUEST_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/attempt/machine.hpp>
#include <skylark/config/rule.hpp>
#include <skylark/config/service.hpp>
#include <skylark/core/id.hpp>
#include <skylark/limit/answer_bound.hpp>
#include <skylark/load/report.hpp>
#include <skylark/route/zone_choice.hpp>
#include <skylark/share/kind.hpp>
#include <skylark/team/rank.hpp>

#include "entry/answer_head.hpp"
#include "entry/metrics.hpp"
#include "entry/version_choice.hpp"

namespace skylark::entry {

using request_id = id<struct request_tag>;

/*! @brief One attempt to send a request to an upstream. */
struct attempt {
    upstream_id m_upstream;
    connection_id m_connection;
    std::optional<share_kind> m_share; //!< share whose slot it uses
    time_point m_sent_at;
    bool m_reused{}; //!< the connection was used before
    bool m_sent{};
    bool m_hedge{};
    //! Load report of the upstream from just before the request was sent.
    std::optional<load_report> m_report;
    std::uint32_t m_probe_count{};         //!< probes sent before the attempt
    std::uint32_t m_pending_probe_count{}; //!< of those, unanswered
    std::uint64_t m_rollout{}; //!< order that it counts for; 0: none
    bool m_answered{};         //!< the head of its response has arrived
    bool m_failed{};           //!< with a failure
};

/*! @brief What a request has of its team's rate limit. */
enum class token_state : std::uint8_t {
    none,    //!< not needed, refused, or given back
    awaited, //!< asked for; the request is in no queue
    held,    //!< granted, and the request was not sent yet
    spent    //!< the request was sent
};

/*! @brief What the answers in progress are kept or awaited for. */
struct answer_sums {
    std::size_t m_unread_bytes{}; //!< that callers have not read, held here
    std::size_t m_unacknowledged_bytes{}; //!< the same, held by the kernel
    std::size_t m_unbounded{}; //!< answers with no near end, see metrics
};

/*! @brief One request of a caller. */
struct request {
    exchange_id m_exchange; //!< invalid after the caller disconnected
    service m_service;      //!< as configured when it was admitted
    std::string m_rule;
    request_class m_class{request_class::normal};
    attempt_machine m_machine;
    time_point m_arrived;
    //! Result of forward_head(): without the headers of an attempt and the
    //! blank line.
    std::string m_head;
    bool m_head_only{}; //!< HEAD request: the answer has no body
    std::map<attempt_id, attempt> m_attempts;
    std::vector<upstream_id> m_tried; //!< upstreams of earlier attempts
    //! The last attempt that this entry ended after it was sent.
    std::optional<attempt> m_cut;
    attempt_id m_answering; //!< attempt whose answer is relayed
    //! From the head of an answer on, of the answer's end.
    timer_id m_deadline_timer;
    //! When the caller stops waiting; none if it does not say.
    std::optional<time_point> m_caller_leaves;
    std::optional<answer_bound> m_answer_bound; //!< of the answer in progress
    bool m_overtime{}; //!< the answer has outlasted its bound, see
                       //!< overtime_quota
    timer_id m_hedge_timer;
    bool m_queued{};
    token_state m_token{token_state::none};
    //! When the caller should return; set if its team is over its limit.
    std::optional<duration> m_over_limit;
    std::string m_name;       //!< given by the caller; may be empty
    time_point m_target_time; //!< an answer by then has full value
    duration m_target{};      //!< the same, from the caller's first request
    request_rank m_rank;      //!< order within its class
    std::string m_team;       //!< name of its team; empty: none
    version_choice m_version_choice{}; //!< drawn once, see rollouts
    duration m_shortened{};            //!< taken off its time for a pause

    // Probes that precede an attempt.
    std::vector<upstream_id> m_probed; //!< probed since it left the queue
    std::vector<upstream_id> m_pending_probes; //!< of those, awaited
    std::vector<upstream_id> m_overdue_probes; //!< of those, no longer awaited
    time_point m_probing_since;
    //! Time that probes of far zones took beyond those of near ones.
    duration m_probing_allowance{};
    timer_id m_probe_timer;
    zone_choice m_zones;                  //!< where it looks for an upstream
    outcome m_outcome{outcome::answered}; //!< counted when the request ends
    int m_status{};                 //!< of the answer that was begun, 0 before
    std::string_view m_abort_cause; //!< why this entry broke the answer off
    std::string m_answerer; //!< upstream that gave it; empty for this entry
    bool m_finishing{};     //!< finish() is running
    bool m_withdrawn{};     //!< may not be passed on as the entry shuts down

    //! Of the one attempt that is running, until its answer begins.
    std::optional<answer_head> m_kept_head;

    // Relay of the answer to the caller.
    std::optional<std::uint64_t> m_body_left; //!< body bytes not received yet
    std::string m_buffered;                   //!< sent once m_sending is false
    bool m_sending{};              //!< a part of the body is being sent
    std::size_t m_sending_bytes{}; //!< of that part
    //! Bytes that the kernel keeps for the caller, when it was asked last.
    std::size_t m_unacknowledged{};
    time_point m_unacknowledged_at;
    bool m_upstream_done{};     //!< the upstream's response has ended
    bool m_final_sent{};        //!< the last part was given to the connection
    time_point m_last_progress; //!< when a part was last received or sent
};

} // namespace skylark::entry

#endif
