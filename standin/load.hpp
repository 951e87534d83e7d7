// Open-loop callers: they ask for entries, keep the answer, send at intended
// times, and measure from then.
#ifndef STANDIN_LOAD_HPP
#define STANDIN_LOAD_HPP

#include <map>
#include <string>
#include <vector>

#include <skylark/core/id_map.hpp>
#include <skylark/core/random.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "io/http_client.hpp"
#include "standin/experiment.hpp"
#include "standin/load_result.hpp"

namespace standin {

/*! @brief Runs one experiment. */
class load {
public:
    load(skylark::io::event_loop& loop, const experiment& what);

    /*! @brief Runs until the duration is over and all calls have ended. */
    void run();

    load_result& result() { return m_result; }

private:
    using call_id = skylark::id<struct call_tag>;

    // One caller with its kept answer of GET /entries.
    struct caller {
        std::string m_zone;
        std::vector<skylark::address> m_near;
        std::vector<skylark::address> m_far;
        skylark::time_point m_expires;
        bool m_asking{};
        std::size_t m_next{};
    };

    struct call {
        std::size_t m_flow{};
        std::size_t m_caller{};
        std::string m_key;
        skylark::time_point m_intended;
        skylark::address m_entry;
        skylark::connection_id m_connection;
        std::uint32_t m_tries{};
        int m_status{};
        std::string m_verdict;
        std::string m_answer_key;
        std::string m_hint; //!< entry to try after "not-run"
        bool m_sent{};
        skylark::timer_id m_timer;
    };

    void ask(std::size_t which);
    void take_entries(std::size_t which, const std::string& body);
    void schedule(std::size_t flow_index);
    void begin(std::size_t flow_index, skylark::time_point intended);
    bool choose_entry(call& of);
    void connect(call_id key);
    void send(call_id key);
    void handle(call_id key, const skylark::io::client_event& what);
    void take_head(call& of, const skylark::io::response_head& head);
    void complete(call_id key, bool reusable);
    void failed(call_id key, const skylark::io::connection_failed& why);
    void expire(call_id key);
    bool repeat(call_id key, bool certain);
    void end(call_id key, call_end how);
    void slow_down(const call& of, std::size_t bytes);
    [[nodiscard]] skylark::time_point elapsed(double seconds) const;

    skylark::io::event_loop& m_loop;
    experiment m_experiment;
    skylark::io::http_client m_client;
    skylark::io::fetcher m_fetcher;
    skylark::random_source m_random;
    std::vector<caller> m_callers;
    skylark::id_map<call_id, call> m_calls;
    std::map<skylark::address, std::vector<skylark::connection_id>> m_idle;
    load_result m_result;
    skylark::time_point m_start;
    std::uint64_t m_keys{};
    std::size_t m_next_caller{};
};

} // namespace standin

#endif
