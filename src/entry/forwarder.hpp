// Data path: admission, probing, attempts and answers.
#ifndef SKYLARK_ENTRY_FORWARDER_HPP
#define SKYLARK_ENTRY_FORWARDER_HPP

#include <map>
#include <span>
#include <string>

#include <skylark/core/id_map.hpp>
#include <skylark/limit/arrival_span.hpp>
#include <skylark/limit/overtime_quota.hpp>
#include <skylark/limit/ratio_budget.hpp>
#include <skylark/limit/retry_after.hpp>
#include <skylark/limit/token_bucket.hpp>
#include <skylark/load/service_time_estimator.hpp>
#include <skylark/route/zone_share.hpp>
#include <skylark/rule/deadline_range.hpp>
#include <skylark/rule/weighted_round_robin.hpp>

#include "entry/admission_queue.hpp"
#include "entry/connection_pool.hpp"
#include "entry/context.hpp"
#include "entry/on_demand_prober.hpp"
#include "entry/request.hpp"
#include "entry/request_stage.hpp"
#include "entry/router.hpp"
#include "entry/service_state.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Forwards requests from callers to upstreams and relays the answers.
 */
class forwarder {
public:
    forwarder(context& shared, io::http_server& callers, std::uint64_t seed);

    /*! @brief Handles a request from a caller.
     *  @param key its exchange
     *  @param from the request; its views are valid only during the call */
    void accept(exchange_id key, const io::request_view& from);

    /*! @brief Whether a request may be handled before those in front of it on
     *  its connection were answered: whether its rule makes it idempotent. */
    [[nodiscard]] bool may_begin_early(const io::request_view& from) const;

    /*! @brief Handles that the caller's connection is ready for the next part
     *  of an answer. */
    void caller_writable(exchange_id key);

    /*! @brief Handles the end of an exchange.
     *  @param key the exchange
     *  @param complete whether the whole answer was sent to the caller */
    void exchange_closed(exchange_id key, bool complete);

    /*! @brief Dispatches queued requests for which an upstream is available. */
    void dispatch_queued();

    /*! @brief Handles the decision on a request that waited for a token. */
    void token_decided(const allowance_decision& decided);

    /*! @brief Handles a pause of the process: ends requests whose deadline
     *  passed meanwhile, except those that are being answered.
     *  @param gap length of the pause, which has just ended */
    void process_paused(duration gap);

    /*! @brief Logs and counts a request that the HTTP server rejected.
     *  @param status of the answer
     *  @param from what could be read of the request */
    void log_rejected(int status, const io::request_view& from);

    /*! @brief Logs and counts a connection that the HTTP server ended with
     *  unanswered input.
     *  @param cause why it ended
     *  @param bytes of that input, as far as they are known */
    void log_discarded(io::discard_cause cause, std::size_t bytes);

    /*! @brief Closes the idle connections of removed upstreams. */
    void upstreams_removed(const std::vector<upstream>& gone);

    /*! @brief Whether this entry uses no more slots of any share than it owns.
     */
    bool within_owned_shares();

    /*! @brief Number of requests that have not ended, queued ones included. */
    [[nodiscard]] std::size_t active() const { return m_requests.size(); }
    /*! @brief Answers in progress, as of the last sweep. */
    [[nodiscard]] const answer_sums& answers() const { return m_answers; }
    const io::http_client& client() const { return m_client; }
    /*! @brief Number of requests in the admission queues. */
    [[nodiscard]] std::size_t queued() const;
    /*! @brief Time since the last request that was admitted. */
    [[nodiscard]] duration time_since_admission() const {
        return io::event_loop::now() - m_last_admission;
    }
    /*! @brief Number of requests that have not ended, by stage. */
    stage_counts stages();
    /*! @brief Logs a line for each request that has not ended. */
    void log_unfinished();
    /*! @brief During the graceful shutdown, refuses requests that have not been
     *  passed on and may or can no longer be. */
    void withdraw_requests();
    router& routing() { return m_router; }
    connection_pool& connections() { return m_pool; }

    /*! @brief Updates an upstream from a load report; records a change of its
     *  state as an event.
     *  @param from the upstream
     *  @param report its report
     *  @param taken latest time at which the report can have been made */
    void apply_report(upstream& from, const load_report& report,
                      time_point taken);

private:
    // Refusals.
    void refuse_on_arrival(exchange_id key, const io::request_view& from,
                           int status, std::string_view reason,
                           request_class wanted,
                           std::optional<duration> retry_after,
                           std::optional<address> other_entry = std::nullopt,
                           line_kind kind = line_kind::decision);
    // Whether what the configuration does not hold may be denied for good, as
    // none that may be in force differs from it.
    [[nodiscard]] bool may_deny() const;
    // Refuses a request that no rule matches; as unknown for now if a newer
    // configuration may allow it.
    void refuse_unmatched(exchange_id key, const io::request_view& from);
    void refuse_caller(request& req, const refuse& why);
    // Ends a request whose caller has ended its input. It may have left, or
    // still read.
    void refuse_departed(request_id key);
    // Retry-After of a service none of whose upstreams can be used.
    [[nodiscard]] duration retry_after_without(const std::string& service);
    // Refuses a request because this entry is shutting down.
    void refuse_leaving(exchange_id key, const io::request_view& from,
                        request_class wanted);
    // Retry-After of an entry that has no configuration yet.
    [[nodiscard]] duration retry_after_starting() const;
    [[nodiscard]] refusal refusal_of(const request& req, const refuse& why);

    // Authentication.
    struct authentication {
        bool m_permitted{};
        const team* m_team{}; // nullptr: the request has none
    };
    [[nodiscard]] authentication authenticate(const io::request_view& from,
                                              const rule& matched) const;
    // As refuse_unmatched(), for a request without the key of a team.
    void refuse_unauthenticated(exchange_id key, const io::request_view& from);
    // Header that a response with status 401 needs (RFC 9110, 15.5.2).
    [[nodiscard]] io::header key_challenge() const;
    [[nodiscard]] request_class class_of_request(const rule& matched,
                                                 const team* whose) const;
    [[nodiscard]] request_rank rank_of_request(const rule& matched,
                                               const team* whose) const;

    // Admission.
    [[nodiscard]] std::string request_name(const io::request_view& from) const;
    // Selects the service by the rule's split, if it has one; advances the
    // split.
    const std::string& select_service(const rule& matched);
    // whose: team of the request; nullptr if it has none.
    void admit(exchange_id key, const io::request_view& from,
               const rule& matched, const service& target, const team* whose);
    // Takes a token of the request's team, if it has a limit, and enqueues the
    // request, lets it wait or refuses it.
    void request_token(request_id key);
    void enqueue(request_id key);
    // Gives back the token of a request that has ended.
    void release_token(const std::string& team, request_id key,
                       token_state state);
    // How long a request waited for a pause of the process to end.
    [[nodiscard]] arrival_span waited_for_process(exchange_id key);
    ratio_budget& retry_budget(const std::string& service);
    void dispatch_service(const std::string& name);
    bool dispatch_next(const std::string& name, request_class wanted);

    // Probing.
    void begin_probing(request_id key);
    void plan_probes(request_id key, bool wait_for_pending);
    void send_probes(request_id key, request& req,
                     const std::vector<upstream_id>& targets);
    void probe_finished(request_id key, upstream_id from);
    [[nodiscard]] duration
    probe_timeout(const std::vector<upstream_id>& targets);
    void record_service_time(const request& req, const attempt& finished,
                             duration took);
    [[nodiscard]] probe_options probe_options_for(const request& req,
                                                  bool wait_for_pending,
                                                  time_point now);
    room_terms room_terms_for(const request& req, time_point now);
    void record_room(const request& req, const upstream& probed);
    token_bucket& probe_budget(const std::string& service);

    // Zones.
    zone_share& zone_share_of(const std::string& service);
    void choose_zone(request& req);
    [[nodiscard]] double zone_penalty(const request& req,
                                      std::span<const zone_distance> others);
    void note_zone_share(const std::string& service, const zone_share& share,
                         time_point now);
    void record_unanswered(const request& req, upstream_id from);
    void record_zone_room(const request& req, const upstream& probed,
                          bool was_overdue);

    // Attempts.
    void begin_attempt(request_id key, request& req, const route_choice& choice,
                       bool is_hedge);
    void handle_open(request_id key, attempt_id which);
    void write_request(request_id key, attempt_id which);
    void handle_event(request_id key, attempt_id which,
                      const io::client_event& what);
    void handle_head(request_id key, attempt_id which,
                     const io::response_head& head);
    // detail: why, for logs.
    void end_attempt(request_id key, attempt_id which, const verdict& how,
                     bool reusable, std::string_view detail = {});
    // may_still_run: whether the upstream may go on working on the attempt for
    // a while; its share is released after that time only.
    void release(const attempt& ended, bool may_still_run);
    void release_share(upstream_id key, share_kind kind);
    void hedge(request_id key);
    // Whether a lost attempt may be repeated; takes the retry from the budget.
    bool withdraw_retry(const request& req, const verdict& how);

    // Logging, one line for each decision on a request.
    void log_send(const request& req, const attempt& current,
                  const upstream& target, time_point now);
    void log_failed_attempt(const request& req, const attempt& failed,
                            const upstream& target, const verdict& how,
                            std::string_view detail);
    void log_skipped(const request& req, const attempt& current,
                     const upstream& target);
    void log_refusal(const request& req, int status, std::string_view reason,
                     const refusal& why, duration retry_after);
    void log_refusal_on_arrival(std::string_view id, int status,
                                std::string_view reason,
                                std::optional<duration> retry_after,
                                line_kind kind);
    void log_end(const request& req, outcome how, duration took);
    // Adds the configuration that a refusal is based on, with its age.
    void add_configuration(log_line& line) const;

    // Answers.
    void apply(request_id key, const actions& list);
    void cancel(request& req, attempt_id which);
    void handle_body(request_id key, attempt_id which, std::string_view piece);
    void handle_complete(request_id key, attempt_id which, bool reusable);
    // Bounds the time of a request, and of an answer whose head was received.
    void bound_request(request_id key, request& req);
    void bound_answer(request_id key, request& req);
    void start_answer(request& req, attempt_id which);
    void check_answer(request_id key);
    // Passes a part of the body to the caller's connection.
    void send_piece(request& req, std::string_view piece, bool last);
    // Bytes that are kept because the caller has not read them.
    [[nodiscard]] std::size_t unread_bytes(const request& req) const;
    // The same, kept by the kernel.
    [[nodiscard]] std::size_t unacknowledged_bytes(request& req);
    // Cuts answers, longest unread first, until the rest are within the limit.
    void limit_unread_answers();
    // Ends an answer that has begun before it is whole.
    void break_off_answer(request_id key, std::string_view why);
    [[nodiscard]] bool may_cancel(const request& req);
    // Whether the caller of a request is taken for gone.
    [[nodiscard]] bool caller_has_left(const request& req);
    void finish(request_id key, outcome how);
    void sweep();
    [[nodiscard]] double hedge_percent(double utilization) const;

    context& m_shared;
    io::http_server& m_callers;
    io::http_client m_client;
    connection_pool m_pool;
    on_demand_prober m_prober;
    router m_router;
    time_point m_started{io::event_loop::now()};
    time_point m_last_admission{io::event_loop::now()};
    id_map<request_id, request> m_requests;
    std::map<exchange_id, request_id> m_by_exchange;
    std::map<std::string, admission_queue> m_queues; // by service
    std::uint64_t m_last_attempt{};
    std::map<std::string, ratio_budget> m_retry_budgets;           // by service
    std::map<std::string, token_bucket> m_probe_budgets;           // by service
    std::map<std::string, service_time_estimator> m_service_times; // by rule
    std::map<std::string, deadline_range> m_deadline_ranges;       // by rule
    std::map<std::string, service_state> m_services;               // by name
    std::map<std::string, zone_share> m_zone_shares;               // by service
    std::map<std::string, weighted_round_robin> m_splits;          // by rule
    ratio_budget m_hedge_budget;
    std::map<std::string, double> m_hedge_percent; // by service
    answer_sums m_answers;
    overtime_quota m_overtime;
};

} // namespace skylark::entry

#endif
