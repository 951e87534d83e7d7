// One request as the entry keeps it, with its attempts.
#ifndef SKYLARK_ENTRY_REQUEST_HPP
#define SKYLARK_ENTRY_REQUEST_HPP

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <skylark/attempt/machine.hpp>
#include <skylark/config/rule.hpp>
#include <skylark/core/id.hpp>
#include <skylark/load/report.hpp>
#include <skylark/share/kind.hpp>

#include "entry/metrics.hpp"

namespace skylark::entry {

using request_id = id<struct request_tag>;

/*! @brief One attempt on one upstream. */
struct attempt {
    upstream_id m_upstream;
    connection_id m_connection;
    std::optional<share_kind> m_share; //!< slot that it occupies
    time_point m_sent_at;
    bool m_reused{}; //!< the connection had answered before
    bool m_sent{};
    bool m_hedge{};
    //! What the upstream said just before the request was sent.
    std::optional<load_report> m_report;
    std::uint32_t m_questions{};  //!< asked before it was chosen
    std::uint32_t m_unanswered{}; //!< of those, still open then
};

/*! @brief One request. */
struct request {
    exchange_id m_exchange; //!< names nothing once the caller has gone
    std::string m_service;
    std::string m_rule;
    request_class m_class{request_class::normal};
    attempt_machine m_machine;
    time_point m_arrived;
    // Head as it goes to the upstream, less the deadline and the blank line.
    std::string m_head;
    bool m_head_only{};
    std::map<attempt_id, attempt> m_attempts;
    std::vector<upstream_id> m_tried;
    attempt_id m_answering;
    timer_id m_deadline_timer;
    timer_id m_hedge_timer;
    bool m_queued{};
    std::string m_name;     //!< that the caller gave it, may be empty
    time_point m_target;    //!< an answer until then is of full use
    std::uint32_t m_rank{}; //!< order within its class

    // Questions before the request is sent.
    std::vector<upstream_id> m_asked;      //!< since it left the queue
    std::vector<upstream_id> m_unanswered; //!< of those
    timer_id m_ask_timer;
    outcome m_outcome{outcome::answered}; //!< counted when it is over
    bool m_finishing{};                   //!< finish() is at work

    // The answer on its way to the caller.
    std::optional<std::uint64_t> m_left; //!< body bytes still to come
    std::string m_pending;               //!< waits until the last piece went
    bool m_sending{};                    //!< a piece is on its way
    bool m_upstream_done{};
    bool m_final_sent{};
    time_point m_progress; //!< when a piece last moved
};

} // namespace skylark::entry

#endif
