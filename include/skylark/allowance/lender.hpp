/*! @file
 *  Lender: the owner's side of rate limits. Holds the token bucket of each team
 *  that this entry owns and lends tokens to entries that ask.
 *
 *  A lender that was not lending asks its rival for the team to yield first, so
 *  that an owner that joins does not add to what the former one lends. If the
 *  rival does not answer, it lends a part of the tolerated excess, until the
 *  members had time to agree on who is live. A lender that learns of a better
 *  one hands over to it. Every other new bucket is empty. */
#ifndef SKYLARK_ALLOWANCE_LENDER_HPP
#define SKYLARK_ALLOWANCE_LENDER_HPP

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include <skylark/allowance/message.hpp>
#include <skylark/allowance/team_limit.hpp>
#include <skylark/allowance/view.hpp>

namespace skylark {

/*! @brief Lends tokens. Does no I/O; messages and the time are arguments. */
class allowance_lender {
public:
    /*! @brief Adopts the limits in force. A lower limit takes effect at once.
     *  @param limits of all teams that have one
     *  @param now the present */
    void configure(std::span<const team_limit> limits, time_point now);

    /*! @brief Adopts what is known of the members.
     *  @return messages that hand teams over to other members */
    std::vector<outgoing_allowance> set_view(const allowance_view& view,
                                             time_point now);

    /*! @brief Handles a question, yield request or yield reply.
     *  @param message as received
     *  @param now the present
     *  @return messages to send */
    std::vector<outgoing_allowance> received(const allowance_message& message,
                                             time_point now);

    /*! @brief Number of teams for which this entry lends tokens. */
    [[nodiscard]] std::size_t lending() const;

private:
    enum class lending_state : std::uint8_t {
        idle,
        pending, // has asked the rival to yield
        interim, // lends a part of the tolerated excess
        active
    };

    // What is known of an entry that asks.
    struct asker {
        time_point m_last;
        time_point m_alone_until; // uses its own share until then
        allowance_message m_answer;
    };

    struct lot {
        std::uint32_t m_count{};
        time_point m_expires;
    };

    struct bucket {
        team_limit m_limit;
        lending_state m_state{lending_state::idle};
        double m_tokens{};
        bool m_vouched{}; // taken over from a lender that knew all members
        time_point m_refilled;
        // Tokens that may be held ahead. Invariant: with m_tokens they do not
        // exceed the capacity, so that the burst is not lent twice.
        std::deque<lot> m_ahead;
        std::map<entry_id, asker> m_askers;
        time_point m_pending_since;
        time_point m_last_yield_request;
        std::uint32_t m_yield_requests{}; // without an answer
        time_point m_interim_since;
        time_point m_room_at; // when the next refused caller should return
        // Since when this entry has been the first member for the team, in a
        // view that is settled; none if it is not.
        std::optional<time_point> m_first_since;
    };

    [[nodiscard]] double part(const bucket& of, time_point now) const;
    void refill(bucket& of, time_point now) const;
    void begin(bucket& of, lending_state state, double tokens,
               time_point now) const;
    void prepare(bucket& of, const allowance_message& question, time_point now,
                 std::vector<outgoing_allowance>& out) const;
    void request_yield(bucket& of, time_point now,
                       std::vector<outgoing_allowance>& out) const;
    allowance_message lend(bucket& of, const allowance_message& question,
                           time_point now) const;
    void answer(bucket& of, const allowance_message& question, time_point now,
                std::vector<outgoing_allowance>& out) const;
    void yield(bucket& of, const allowance_message& request, time_point now,
               std::vector<outgoing_allowance>& out) const;
    allowance_message stop(bucket& of, time_point now) const;
    void yielded(bucket& of, const allowance_message& reply,
                 time_point now) const;
    void note_first(bucket& of, time_point now) const;
    [[nodiscard]] double saved_tokens(const bucket& of, time_point now) const;
    [[nodiscard]] entry_id rival_of(const bucket& of) const;
    [[nodiscard]] bool is_first(const bucket& of) const;

    allowance_view m_view;
    std::map<std::uint64_t, bucket> m_buckets; // by team
};

} // namespace skylark

#endif
