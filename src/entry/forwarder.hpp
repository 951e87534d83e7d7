// The data path: admission, attempts, answers.
#ifndef SKYLARK_ENTRY_FORWARDER_HPP
#define SKYLARK_ENTRY_FORWARDER_HPP

#include <map>
#include <string>

#include <skylark/core/id_map.hpp>
#include <skylark/limit/ratio_budget.hpp>
#include <skylark/limit/token_bucket.hpp>
#include <skylark/load/service_time_estimator.hpp>
#include <skylark/rule/usual_deadline.hpp>
#include <skylark/rule/weighted_round_robin.hpp>

#include "entry/admission_queue.hpp"
#include "entry/asker.hpp"
#include "entry/connection_pool.hpp"
#include "entry/context.hpp"
#include "entry/request.hpp"
#include "entry/router.hpp"
#include "io/http_client.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Takes requests from callers to upstreams and answers back. */
class forwarder {
public:
    forwarder(context& shared, io::http_server& callers, std::uint64_t seed);

    /*! @brief A request has arrived.
     *  @param key its exchange
     *  @param from what the caller sent; views die with the call */
    void accept(exchange_id key, const io::request_view& from);

    /*! @brief The caller's connection can take the next piece. */
    void ready(exchange_id key);

    /*! @brief The exchange is over.
     *  @param complete whether the caller has the whole answer */
    void closed(exchange_id key, bool complete);

    /*! @brief Gives waiting requests another chance. */
    void pump();

    /*! @brief The process was paused: drop what callers have given up on. */
    void paused();

    /*! @brief Closes what belonged to removed upstreams. */
    void removed(const std::vector<upstream>& gone);

    /*! @brief Whether no share is used beyond what is owned. */
    bool settled();

    [[nodiscard]] std::size_t active() const { return m_requests.size(); }
    [[nodiscard]] std::size_t queued() const;
    router& routing() { return m_router; }
    connection_pool& connections() { return m_pool; }

    /*! @brief Takes a report in and notes a change of state. */
    void take_report(upstream& from, const load_report& report,
                     time_point taken);

private:
    // Admission.
    void refuse_at_once(exchange_id key, const io::request_view& from,
                        int status, std::string_view reason, request_class of,
                        duration come_back,
                        std::optional<address> elsewhere = std::nullopt);
    [[nodiscard]] std::string request_name(const io::request_view& from) const;
    const std::string& service_of(const rule& under);
    void admit(exchange_id key, const io::request_view& from, const rule& under,
               const std::string& service);
    ratio_budget& retry_budget(const std::string& service);
    [[nodiscard]] duration come_back(const std::string& service);
    void pump_service(const std::string& name);
    bool start_next(const std::string& name, request_class of);

    // Asking.
    void begin_asking(request_id key);
    void plan(request_id key, bool patient);
    void ask(request_id key, request& of, const std::vector<upstream_id>& whom);
    void heard(request_id key, upstream_id from);
    void learn_work(const request& of, const attempt& by, duration took);
    [[nodiscard]] probe_options terms_of(const request& of, bool patient,
                                         time_point now);
    token_bucket& question_budget(const std::string& service);

    // Attempts.
    void start(request_id key, request& of, const route_choice& choice,
               bool is_hedge);
    void write(request_id key, attempt_id which);
    void handle(request_id key, attempt_id which, const io::client_event& what);
    void take_head(request_id key, attempt_id which,
                   const io::response_head& head);
    void end_attempt(request_id key, attempt_id which, const verdict& how,
                     bool reusable);
    void release(const attempt& of, bool work_may_go_on);
    void release_share(upstream_id key, share_kind kind);
    void hedge(request_id key);
    bool may_retry(const request& of, const verdict& how);

    // Log lines: one for each decision on a request.
    void log_send(const request& of, const attempt& made,
                  const upstream& target, time_point now);
    void log_failed_attempt(const request& of, const upstream& target,
                            const verdict& how, time_point now);
    void log_refusal(std::string_view id, std::string_view rule, int status,
                     std::string_view reason, duration come_back);
    void log_end(const request& of, outcome how, duration took);

    // Answers.
    void apply(request_id key, const actions& list);
    void cancel(request& of, attempt_id which);
    void refuse_caller(request& of, const refuse& why);
    void take_body(request_id key, attempt_id which, std::string_view piece);
    void complete(request_id key, attempt_id which, bool reusable);
    [[nodiscard]] bool may_cancel(const request& of);
    void finish(request_id key, outcome how);
    void sweep();
    [[nodiscard]] double hedge_percent(double utilization) const;

    context& m_shared;
    io::http_server& m_callers;
    io::http_client m_client;
    connection_pool m_pool;
    asker m_asker;
    router m_router;
    id_map<request_id, request> m_requests;
    std::map<exchange_id, request_id> m_by_exchange;
    std::map<std::string, admission_queue> m_queues; // by service
    std::uint64_t m_last_attempt{};
    std::map<std::string, ratio_budget> m_retry_budgets;     // by service
    std::map<std::string, token_bucket> m_question_budgets;  // by service
    std::map<std::string, service_time_estimator> m_work;    // by rule
    std::map<std::string, usual_deadline> m_usual_deadlines; // by rule
    std::map<std::string, weighted_round_robin> m_splits;    // by rule
    ratio_budget m_hedge_budget;
    std::map<std::string, double> m_hedge_percent; // by service
};

} // namespace skylark::entry

#endif
