// Entries with clients and lenders on a network in virtual time. Datagrams take
// time and get lost; entries learn late who is live, as through the roster.
#ifndef SKYLARK_TEST_ALLOWANCE_FAKE_FLEET_HPP
#define SKYLARK_TEST_ALLOWANCE_FAKE_FLEET_HPP

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

#include <skylark/allowance/client.hpp>
#include <skylark/allowance/lender.hpp>

#include "test/allowance/fake_options.hpp"

namespace skylark::test {

class fake_fleet {
public:
    fake_fleet(const fake_options& from, std::vector<fake_team> teams)
        : m_options{from}, m_random{from.m_seed}, m_teams{std::move(teams)} {
        for (const fake_team& item : m_teams)
            m_limits.push_back(item.m_limit);
        std::vector<entry_id> all;
        for (std::size_t i = 0; i < from.m_entries; ++i)
            all.push_back(key(i));
        m_first_owner =
            allowance_view::rank(m_limits[0].m_team, all).m_first.value() - 1;
        for (std::size_t i = 0; i < from.m_entries; ++i) {
            m_nodes.emplace_back();
            m_nodes[i].m_started = -100.0;
            m_nodes[i].m_skew = from.m_skew * (2.0 * uniform() - 1.0);
            begin(i);
            watch(i, uniform() * view_period);
        }
        for (std::size_t i = 0; i < m_teams.size(); ++i)
            arrive(i);
    }

    void at(double when, std::function<void()> what) {
        m_events.push({when, ++m_last, std::move(what)});
    }

    void run(double until) {
        while (!m_events.empty() && m_events.top().m_when < until) {
            m_now = m_events.top().m_when;
            const auto what = m_events.top().m_what;
            m_events.pop();
            what();
        }
    }

    void kill(std::size_t i) { m_nodes[i].m_died = m_now; }

    void restart(std::size_t i) {
        m_nodes[i].m_started = m_now;
        m_nodes[i].m_died = never;
        begin(i);
        refresh(i);
    }

    // The entry that owns a team while all are live.
    [[nodiscard]] std::size_t owner(std::uint64_t team) const {
        std::vector<entry_id> all;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            if (m_nodes[i].m_died > m_now)
                all.push_back(key(i));
        return allowance_view::rank(team, all).m_first.value() - 1;
    }

    void add(std::size_t count) {
        for (std::size_t n = 0; n < count; ++n) {
            const std::size_t i = m_nodes.size();
            m_nodes.emplace_back();
            m_nodes[i].m_started = m_now;
            begin(i);
            watch(i, 0.0);
        }
    }

    void set_limit(std::size_t team, double rate, double burst) {
        m_teams[team].m_limit.m_rate = rate;
        m_teams[team].m_limit.m_burst = burst;
        m_limits[team] = m_teams[team].m_limit;
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            at(m_now + uniform() * adoption_spread, [this, i] {
                m_nodes[i].m_client->configure(m_limits);
                m_nodes[i].m_lender->configure(m_limits, local(i));
            });
    }

    [[nodiscard]] const std::vector<fake_team>& teams() const {
        return m_teams;
    }
    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    [[nodiscard]] std::uint64_t messages() const { return m_messages; }
    [[nodiscard]] std::size_t busiest() const {
        std::size_t out = 0;
        for (const node& item : m_nodes)
            out = std::max(out, item.m_messages);
        return out;
    }

private:
    static constexpr double never = 1e9;
    static constexpr double view_period = 0.2;
    static constexpr double adoption_spread = 0.5;
    static constexpr double known_life = 30.0;

    struct event {
        double m_when{};
        std::uint64_t m_key{};
        std::function<void()> m_what;
        bool operator<(const event& other) const {
            return std::pair{m_when, m_key} >
                   std::pair{other.m_when, other.m_key};
        }
    };

    struct node {
        double m_started{};
        double m_died{never};
        double m_skew{};
        std::size_t m_messages{};
        bool m_ticking{};
        std::unique_ptr<allowance_client> m_client;
        std::unique_ptr<allowance_lender> m_lender;
    };

    static entry_id key(std::size_t i) { return entry_id{i + 1}; }
    double uniform() {
        return std::uniform_real_distribution<double>{}(m_random);
    }
    [[nodiscard]] time_point local(std::size_t i) const {
        const double value =
            1000.0 + i * 7.0 + m_now * (1.0 + m_nodes[i].m_skew);
        return time_point{duration{static_cast<std::int64_t>(value * 1e6)}};
    }
    [[nodiscard]] bool up(std::size_t i) const {
        return m_nodes[i].m_died > m_now;
    }
    [[nodiscard]] bool far(std::size_t i) const {
        const auto count = static_cast<std::size_t>(
            m_options.m_partition.m_part * m_options.m_entries);
        const std::size_t n = m_options.m_entries;
        // The owner of the first team is the first or the last far entry.
        const std::size_t begin =
            m_options.m_partition.m_owner ? m_first_owner : m_first_owner + 1;
        return (i + n - begin % n) % n < count;
    }
    [[nodiscard]] bool blocked(std::size_t from, std::size_t to) const {
        const fake_partition& cut = m_options.m_partition;
        return far(from) != far(to) && (far(from) ? cut.m_out : cut.m_in);
    }
    // A figure between 0 and 1 of a pair of entries, the same in every call.
    static double lag(std::size_t i, std::size_t j) {
        return (rendezvous(i + 1, j + 1) % 1000) / 1000.0;
    }

    // When entry i had the last evidence that j lives; negative without any.
    [[nodiscard]] double evidence(std::size_t i, std::size_t j) const {
        const fake_partition& cut = m_options.m_partition;
        const double joined =
            std::max(m_nodes[i].m_started, m_nodes[j].m_started) + 0.2 +
            0.8 * lag(i, j);
        if (m_now < joined)
            return -never;
        const double alive = std::min(m_now, m_nodes[j].m_died);
        const bool cut_now = blocked(j, i) && alive >= cut.m_from &&
                             alive < cut.m_to + 0.2 + 0.8 * lag(j, i);
        return cut_now ? cut.m_from : alive;
    }

    void refresh(std::size_t i) {
        allowance_view out;
        out.m_self = key(i);
        out.m_settled = m_now - m_nodes[i].m_started > 3.0;
        for (std::size_t j = 0; j < m_nodes.size(); ++j) {
            const double age = m_now - evidence(i, j);
            if (i == j || age < 0.7 + 1.7 * lag(j, i + 7))
                out.m_live.push_back(key(j));
            if (i == j || age < known_life)
                out.m_known.push_back(key(j));
        }
        m_nodes[i].m_client->set_view(out);
        send(i, m_nodes[i].m_lender->set_view(out, local(i)));
    }

    void watch(std::size_t i, double first) {
        at(m_now + first, [this, i] {
            if (up(i))
                refresh(i);
            watch(i, view_period);
        });
    }

    void begin(std::size_t i) {
        m_nodes[i].m_client = std::make_unique<allowance_client>(m_random());
        m_nodes[i].m_lender = std::make_unique<allowance_lender>();
        refresh(i);
        m_nodes[i].m_client->configure(m_limits);
        m_nodes[i].m_lender->configure(m_limits, local(i));
    }

    void arrive(std::size_t team) {
        fake_team& of = m_teams[team];
        const double factor = of.m_factor(m_now);
        if (factor <= 0.0) {
            at(m_now + 0.05, [this, team] { arrive(team); });
            return;
        }
        const double gap = std::exponential_distribution<double>{
            of.m_usual * factor}(m_random);
        at(m_now + gap, [this, team] {
            const std::size_t i = std::uniform_int_distribution<std::size_t>{
                0, m_nodes.size() - 1}(m_random);
            if (up(i))
                request(i, team);
            arrive(team);
        });
    }

    void request(std::size_t i, std::size_t team) {
        m_teams[team].m_came.push_back(m_now);
        allowance_steps out;
        const std::uint64_t id = (++m_last << 8U) + team;
        const auto verdict = m_nodes[i].m_client->admit(
            m_teams[team].m_limit.m_team, id, local(i), out);
        if (verdict != allowance_verdict::waiting)
            decided(team, verdict == allowance_verdict::granted);
        apply(i, out);
    }

    void decided(std::size_t team, bool granted) {
        if (granted) // it reaches an upstream a little later
            m_teams[team].m_ran.push_back(m_now + 0.005 * uniform());
        else
            ++m_teams[team].m_refused;
    }

    void apply(std::size_t i, const allowance_steps& steps) {
        for (const allowance_decision& item : steps.m_decided)
            decided(item.m_request & 0xFFU, item.m_granted);
        send(i, steps.m_send);
        if (m_nodes[i].m_ticking || !m_nodes[i].m_client->busy())
            return;
        m_nodes[i].m_ticking = true;
        at(m_now + 0.005, [this, i] {
            m_nodes[i].m_ticking = false;
            if (up(i))
                apply(i, m_nodes[i].m_client->tick(local(i)));
        });
    }

    void send(std::size_t i, const std::vector<outgoing_allowance>& list) {
        for (const outgoing_allowance& item : list) {
            const std::size_t to = item.m_to.value() - 1;
            const bool within = to == i;
            if (!within) {
                ++m_messages;
                ++m_nodes[i].m_messages;
                const fake_partition& cut = m_options.m_partition;
                const bool cut_now = m_now >= cut.m_from && m_now < cut.m_to;
                if ((cut_now && blocked(i, to)) || uniform() < m_options.m_loss)
                    continue;
            }
            const double took =
                within ? 0.0 : m_options.m_one_way * (0.5 + uniform());
            at(m_now + took, [this, to, message = item.m_message] {
                if (up(to))
                    receive(to, message);
            });
        }
    }

    void receive(std::size_t i, const allowance_message& message) {
        if (message.m_kind == allowance_kind::grant)
            apply(i, m_nodes[i].m_client->received(message, local(i)));
        else
            send(i, m_nodes[i].m_lender->received(message, local(i)));
    }

    fake_options m_options;
    std::mt19937_64 m_random;
    std::vector<fake_team> m_teams;
    std::vector<team_limit> m_limits;
    std::vector<node> m_nodes;
    std::priority_queue<event> m_events;
    std::size_t m_first_owner{};
    std::uint64_t m_last{};
    std::uint64_t m_messages{};
    double m_now{};
};

} // namespace skylark::test

#endif
