// Several rosters in virtual time, joined by a fake network that can be cut
// and counts its messages.
#ifndef TEST_MEMBER_FAKE_ROSTERS_HPP
#define TEST_MEMBER_FAKE_ROSTERS_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <skylark/core/random.hpp>
#include <skylark/member/roster.hpp>

namespace skylark::test {

/*! @brief The fleet. Entry n has id n and address n, and stands in zone
 *  n modulo the number of zones, plus one. The first three are the seeds. */
class fake_rosters {
public:
    fake_rosters(std::size_t count, std::size_t zones, std::uint64_t seed)
        : m_zones{zones}, m_random{seed} {
        for (std::size_t i = 1; i <= count; ++i)
            start(i, 1000);
    }

    void start(std::size_t index, std::uint64_t incarnation) {
        member_record self;
        self.m_name = {entry_id{index}, incarnation};
        self.m_contact.m_peer = where(index);
        self.m_contact.m_zone = zone_of(index);
        self.m_contact.m_capacity = m_strong.contains(index) ? 50 : 10;
        const std::vector<address> seeds{where(1), where(2), where(3)};
        m_tables[index] =
            std::make_unique<roster>(self, seeds, roster_timing{});
        m_next[index] = m_now + microseconds{m_random(200'000)};
        m_dead.erase(index);
    }

    /*! @brief Gives an entry more capacity; before anything runs. */
    void strengthen(std::size_t index) {
        m_strong.insert(index);
        start(index, 1000);
    }

    void kill(std::size_t index) { m_dead.insert(index); }
    bool dead(std::size_t index) const { return m_dead.contains(index); }
    void cut(std::size_t from, std::size_t to) { m_cuts.insert({from, to}); }
    void lose(std::uint32_t percent) { m_loss = percent; }

    //! What an entry says of its configuration.
    std::function<config_mark(std::size_t)> m_mark;
    //! An entry has heard a heartbeat.
    std::function<void(std::size_t, const heartbeat&)> m_heard;
    //! Time has moved.
    std::function<void()> m_turn;

    void run(duration length) {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += step;
            if (m_turn)
                m_turn();
            while (!m_flying.empty() && m_flying.front().m_at <= m_now) {
                const auto item = std::move(m_flying.front());
                m_flying.pop_front();
                if (m_dead.contains(item.m_to))
                    continue;
                at(item.m_to).received(item.m_message, m_now);
                if (m_heard)
                    m_heard(item.m_to, item.m_message);
            }
            for (auto& [index, table] : m_tables)
                if (!m_dead.contains(index) && m_next[index] <= m_now)
                    round(index, *table);
        }
    }

    /*! @brief An entry sends its heartbeats now. */
    void beat(std::size_t index) { round(index, at(index)); }

    roster& at(std::size_t index) { return *m_tables.at(index); }
    time_point now() const { return m_now; }
    std::size_t sent() const { return m_sent; }
    //! Sees each message with the number of those who get it.
    std::function<void(std::size_t, const heartbeat&, std::size_t)> m_send;
    std::uint64_t zone_of(std::size_t index) const {
        return index % m_zones + 1;
    }

    /*! @brief Whether one entry takes another for live. */
    bool sees(std::size_t index, std::size_t other) {
        const auto& peers = at(index).peers();
        const auto found = peers.find(entry_id{other});
        return found != peers.end() && at(index).live(found->second, m_now);
    }

    /*! @brief Pairs of living entries of which one misses the other, and of
     *  living and dead ones of which the dead one is taken for live. */
    std::size_t errors() {
        std::size_t out = 0;
        for (const auto& [index, table] : m_tables)
            for (const auto& [other, unused] : m_tables)
                if (index != other && !dead(index))
                    out += sees(index, other) == dead(other) ? 1 : 0;
        return out;
    }

private:
    static constexpr duration step{milliseconds{5}};
    static constexpr duration latency{milliseconds{1}};

    struct datagram {
        time_point m_at;
        std::size_t m_to;
        heartbeat m_message;
    };

    static address where(std::size_t index) {
        return {static_cast<std::uint32_t>(index), 1};
    }

    void round(std::size_t index, roster& table) {
        m_next[index] = m_now + roster_timing{}.m_period;
        const config_mark mark = m_mark ? m_mark(index) : config_mark{};
        for (const auto& out : table.tick(m_now, mark)) {
            if (m_send)
                m_send(index, out.m_message, out.m_to.size());
            for (const address& where : out.m_to) {
                ++m_sent;
                const std::size_t to = where.m_ip;
                if (!m_cuts.contains({index, to}) && m_random(100) >= m_loss)
                    m_flying.push_back({m_now + latency, to, out.m_message});
            }
        }
    }

    std::size_t m_zones;
    random_source m_random;
    time_point m_now{seconds{100}};
    std::map<std::size_t, std::unique_ptr<roster>> m_tables;
    std::map<std::size_t, time_point> m_next;
    std::set<std::size_t> m_dead;
    std::set<std::size_t> m_strong;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::deque<datagram> m_flying;
    std::size_t m_sent{};
    std::uint32_t m_loss{}; // percent
};

} // namespace skylark::test

#endif
