// Stand-in for a server of the users' platform: slots, a short queue,
// deadlines, leaving and resting on demand, and a ledger.
#ifndef STANDIN_SERVER_HPP
#define STANDIN_SERVER_HPP

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/core/random.hpp>

#include "io/event_loop.hpp"
#include "io/http_server.hpp"
#include "standin/endless_fault.hpp"
#include "standin/endless_writer.hpp"
#include "standin/ledger.hpp"
#include "standin/query.hpp"
#include "standin/service_times.hpp"
#include "standin/strain.hpp"

namespace standin {

/*! @brief What one server is. */
struct server_shape {
    std::string m_instance; //!< id of this lifetime
    std::string m_health_path{"/health"};
    std::uint32_t m_slots{6};
    std::uint32_t m_queue_limit{6};
    service_times m_times;
    strain m_strain;
    bool m_hangs{}; //!< when full: no answer, nor later on that connection
    skylark::duration m_idle{skylark::seconds{60}}; //!< of connections
    std::uint64_t m_seed{1};
    std::string m_ledger; //!< file, none if empty
};

/*! @brief The server. It speaks HTTP as the platform describes it:
 *
 *  - a request runs in a slot, waits in the queue, or is refused with 503 and
 *    Not-Executed; a server that hangs when full answers nothing instead;
 *  - 421 for a request that expects another instance;
 *  - 504 at the deadline of a request that runs, 503 for one in the queue;
 *  - work ends when its connection closes. */
class server {
public:
    server(skylark::io::event_loop& loop, const server_shape& shape);

    skylark::parsed<skylark::address> listen(skylark::address where) {
        return m_server.listen(where);
    }

    /*! @brief Says in each answer from now on that the server leaves. Health
     *  answers say so too, but do not fail yet. */
    void leave();

    /*! @brief Refuses all requests for some time and says how long. */
    void rest(skylark::duration time);

    /*! @brief Breaks off the next answers midway. */
    void break_answers(std::int64_t count) { m_to_break = count; }

    /*! @brief Gives a part of the requests answers without an end.
     *  @param percent share of those that run well, 0: off
     *  @param checks whether status checks are among them */
    void answer_without_end(std::int64_t percent, bool checks);

    /*! @brief Lets health answers fail, as a draining server does. */
    void set_draining() { m_draining = true; }

    /*! @brief Handler for paths below /standin/. */
    using admin_handler =
        std::function<void(const query&, std::function<void(int)>)>;
    void on_admin(admin_handler handler) { m_admin = std::move(handler); }

    [[nodiscard]] ledger& book() { return m_ledger; }

private:
    struct job {
        std::string m_id;
        std::string m_target;
        bool m_running{};
        bool m_answered{};
        bool m_broken{}; // only a part of its answer is sent
        skylark::time_point m_expires;
        skylark::timer_id m_timer;
    };

    void serve(skylark::exchange_id key,
               const skylark::io::request_view& request);
    void serve_health(skylark::exchange_id key);
    void accept(skylark::exchange_id key,
                const skylark::io::request_view& request);
    void run_next();
    void run(skylark::exchange_id key, job& item);
    void finish(skylark::exchange_id key, int status);
    void break_off(skylark::exchange_id key);
    // False if the request is to be answered as usual.
    bool answer_endlessly(skylark::exchange_id key, job& item);
    bool check_endlessly(skylark::exchange_id key);
    bool begin_endless(skylark::exchange_id key, std::string_view id,
                       const endless_answer& answer,
                       const std::string& stamped);
    void end_endless(skylark::exchange_id key, std::uint64_t bytes);
    void refuse(skylark::exchange_id key, std::string_view id);
    void hang(skylark::exchange_id key, std::string_view id);
    void release(skylark::exchange_id key, bool complete);
    void drop_abandoned();
    [[nodiscard]] std::vector<skylark::io::header>
    answer_headers(std::string_view id) const;
    [[nodiscard]] std::string load() const;
    [[nodiscard]] std::string stamp(std::size_t size,
                                    std::string_view request_body) const;

    skylark::io::event_loop& m_loop;
    skylark::io::http_server m_server;
    server_shape m_shape;
    skylark::random_source m_random;
    endless_fault m_endless;
    endless_writer m_writer;
    ledger m_ledger;
    admin_handler m_admin;
    // Invariant: m_queue holds the keys of the jobs that do not run.
    std::map<skylark::exchange_id, job> m_jobs;
    std::deque<skylark::exchange_id> m_queue;
    std::vector<skylark::exchange_id> m_hung;
    std::uint32_t m_running{}; // jobs that hold a slot
    double m_phase{1.0};       // factor on work times now
    std::int64_t m_to_break{};
    bool m_leaving{};
    bool m_draining{};
    skylark::time_point m_rests_until;
};

} // namespace standin

#endif
