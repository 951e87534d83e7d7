/*! @file
 *  Client: an entry's side of rate limits. Holds the tokens that its entry has
 *  borrowed, asks the owner of a team for more, and decides on requests. */
#ifndef SKYLARK_ALLOWANCE_CLIENT_HPP
#define SKYLARK_ALLOWANCE_CLIENT_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <skylark/allowance/decision.hpp>
#include <skylark/allowance/paced_share.hpp>
#include <skylark/allowance/team_limit.hpp>
#include <skylark/allowance/view.hpp>
#include <skylark/core/random.hpp>

namespace skylark {

/*! @brief Decides on the requests of an entry. Does no I/O; messages and the
 *  time are arguments. Requests are the caller's numbers. */
class allowance_client {
public:
    /*! @brief How often tick() has to be called while requests wait. */
    static constexpr duration tick_period = milliseconds{5};

    /*! @param seed of phases, delays and the first question's number */
    explicit allowance_client(std::uint64_t seed);

    /*! @brief Adopts the limits in force; requests of a team that has none any
     *  more are granted. */
    allowance_steps configure(std::span<const team_limit> limits);

    void set_view(const allowance_view& view) { m_view = view; }

    /*! @brief Decides on a request, or lets it wait.
     *  @param team hash of its team's name
     *  @param request number for the decision, unique while it waits
     *  @param now the present
     *  @param out messages to send
     *  @return granted for a team without a limit */
    allowance_verdict admit(std::uint64_t team, std::uint64_t request,
                            time_point now, allowance_steps& out);

    /*! @brief Handles a grant. */
    allowance_steps received(const allowance_message& message, time_point now);

    /*! @brief Repeats questions and gives up on owners that do not answer. */
    allowance_steps tick(time_point now);

    /*! @brief A waiting request has ended. */
    void cancel(std::uint64_t team, std::uint64_t request);

    /*! @brief A request whose token was granted has ended without having been
     *  sent; the next one may use the token for a second. */
    allowance_steps give_back(std::uint64_t team, time_point now);

    /*! @brief When a caller that is refused now should return. */
    [[nodiscard]] duration retry_after(std::uint64_t team, time_point now);

    /*! @brief Whether requests wait or answers are outstanding. */
    [[nodiscard]] bool busy() const;

    [[nodiscard]] bool limited(std::uint64_t team) const {
        return m_teams.contains(team);
    }
    /*! @brief Whether a team's requests use this entry's own share. */
    [[nodiscard]] bool alone(std::uint64_t team) const;
    [[nodiscard]] allowance_counts counts(std::uint64_t team) const;

private:
    struct lot {
        std::uint32_t m_count{};
        time_point m_expires;
    };

    struct question {
        std::uint64_t m_sequence{};
        std::uint32_t m_count{};
        std::uint32_t m_tries{};
        std::uint32_t m_redirects{};
        time_point m_first_sent;
        time_point m_last_sent;
        entry_id m_target;
        allowance_message m_message;
    };

    struct team_state {
        team_limit m_limit;
        std::deque<std::uint64_t> m_waiting;
        std::deque<lot> m_lots;
        entry_id m_lender;        // of the newest of m_lots
        std::uint32_t m_unused{}; // expired tokens of m_lender
        std::optional<question> m_question;
        time_point m_refuse_until;
        time_point m_room_at;
        // Entry that the owner's place was taken by, and until when.
        entry_id m_replacement;
        time_point m_replacement_until;
        double m_demand{}; // requests a second, smoothed
        time_point m_last_request;
        std::optional<time_point> m_alone_since;
        bool m_own_share{}; // the whole share is used, not only the excess
        paced_share m_share;
        time_point m_last_notice;
        allowance_counts m_counts;
    };

    void note_demand(team_state& of, time_point now) const;
    [[nodiscard]] std::uint32_t ahead_for(const team_state& of) const;
    bool take(team_state& of, time_point now) const;
    void drop_expired(team_state& of, time_point now) const;
    void ask(team_state& of, time_point now, allowance_steps& out);
    void send(team_state& of, time_point now, allowance_steps& out) const;
    void repeat(team_state& of, time_point now, allowance_steps& out);
    void notice(team_state& of, time_point now, allowance_steps& out);
    void begin_alone(team_state& of, time_point now, allowance_steps& out);
    void update_share(team_state& of, time_point now);
    [[nodiscard]] double own_rate(const team_state& of) const;
    void decide(team_state& of, bool granted, duration retry_after,
                allowance_steps& out) const;
    void serve_waiting(team_state& of, time_point now,
                       allowance_steps& out) const;
    void accept_grant(team_state& of, const allowance_message& message,
                      time_point now, allowance_steps& out);
    [[nodiscard]] double random();

    random_source m_random;
    std::uint64_t m_last_sequence;
    allowance_view m_view;
    std::map<std::uint64_t, team_state> m_teams;
};

} // namespace skylark

#endif
