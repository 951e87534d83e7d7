// Rate limits of teams in this entry: wires client and lender to the fleet.
#ifndef SKYLARK_ENTRY_ALLOWANCE_SERVICE_HPP
#define SKYLARK_ENTRY_ALLOWANCE_SERVICE_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/allowance/client.hpp>
#include <skylark/allowance/lender.hpp>
#include <skylark/config/document.hpp>

#include "entry/fleet.hpp"
#include "entry/journal.hpp"
#include "entry/metrics.hpp"
#include "entry/request.hpp"
#include "io/event_loop.hpp"

namespace skylark::entry {

/*! @brief Decides whether a team's request may run now. Teams without a limit,
 *  and documents without teams, cost one look-up. */
class allowance_service {
public:
    //! Called for a request that has waited; never inside admit() for the same
    //! request.
    using handler = std::function<void(const allowance_decision&)>;

    allowance_service(io::event_loop& loop, fleet& members, journal& events,
                      metrics& counts, std::uint64_t seed);

    /*! @brief Sets the handler of decisions and starts the periodic work. */
    void start(handler decided);

    /*! @brief Adopts the limits of a document. */
    void configure(const document& config);

    /*! @brief Handles a message of a peer. */
    void received(const allowance_message& message);

    /*! @brief Decides on a request; see allowance_client::admit(). */
    allowance_verdict admit(std::string_view team, request_id key);

    /*! @brief A request that waits has ended. */
    void cancel(std::string_view team, request_id key);

    /*! @brief A request with a token has ended without having been sent. */
    void give_back(std::string_view team);

    /*! @brief When the caller of a request that was refused should return. */
    [[nodiscard]] duration retry_after(std::string_view team);

private:
    struct limited_team {
        std::string m_name;
        bool m_alone{};
    };

    void refresh();
    void update_view(time_point now);
    void note_owners();
    void show_figures();
    void schedule_tick();
    // Delivers messages, those to this entry included, and returns the
    // decisions that follow.
    std::vector<allowance_decision> deliver(allowance_steps steps);
    void carry_out(const std::vector<allowance_decision>& decided);

    io::event_loop& m_loop;
    fleet& m_members;
    journal& m_events;
    metrics& m_counts;
    time_point m_started{io::event_loop::now()};
    allowance_client m_client;
    allowance_lender m_lender;
    allowance_view m_view;
    std::map<entry_id, time_point> m_last_live;
    std::map<std::uint64_t, limited_team> m_teams; // by hash of the name
    std::vector<team_limit> m_limits;
    handler m_decided;
    bool m_ticking{};
};

} // namespace skylark::entry

#endif
