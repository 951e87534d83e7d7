// Several member tables with their share tables in virtual time, joined by a
// fake network that can be cut, one way or both, and members that can freeze.
#ifndef TEST_MEMBER_FAKE_FLEET_HPP
#define TEST_MEMBER_FAKE_FLEET_HPP

#include <deque>
#include <map>
#include <memory>
#include <set>

#include <skylark/core/random.hpp>
#include <skylark/member/table.hpp>
#include <skylark/share/table.hpp>

namespace skylark::test {

/*! @brief One member: tables and what is under way to it. */
struct fake_member {
    fake_member(const member_record& self, std::vector<address> seeds,
                time_point now)
        : m_table{self, std::move(seeds), {}, now}, m_shares{self.m_name.m_id} {
    }

    member_table m_table;
    share_table m_shares;
    std::uint64_t m_epoch{};
    duration m_offset{}; //!< its clock against the fleet's
    time_point m_next{}; //!< next heartbeat round, fleet time
    time_point m_thaw{}; //!< frozen until then
    bool m_dead{};
    //! Work that occupies the slot under test until then; fleet time.
    time_point m_busy_until{};
    bool m_leaving{};
};

/*! @brief The fleet. Entry n has id n and address n. */
class fake_fleet {
public:
    fake_fleet(std::size_t count, std::uint64_t seed)
        : m_random{seed}, m_count{count} {
        for (std::size_t i = 1; i <= count; ++i)
            start(i);
    }

    /*! @brief Starts or replaces an entry. */
    void start(std::size_t index) {
        member_record self;
        self.m_name = {entry_id{index}, ++m_incarnation * 1000};
        self.m_contact.m_peer = where(index);
        std::vector<address> seeds;
        for (std::size_t i = 1; i <= m_count; ++i)
            seeds.push_back(where(i));
        const duration offset{static_cast<std::int64_t>(m_random(1000)) * 1000};
        auto made = std::make_unique<fake_member>(self, seeds, m_now + offset);
        made->m_offset = offset;
        made->m_next = m_now + microseconds{m_random(200'000)};
        m_members[index] = std::move(made);
    }

    void kill(std::size_t index) { m_members.at(index)->m_dead = true; }

    void freeze(std::size_t index, duration length) {
        m_members.at(index)->m_thaw = m_now + length;
    }

    /*! @brief Loses everything from one to another, or heals the way. */
    void cut(std::size_t from, std::size_t to, bool on) {
        if (on)
            m_cuts.insert({from, to});
        else
            m_cuts.erase({from, to});
    }

    void heal() { m_cuts.clear(); }

    /*! @brief Lets time pass in steps of a millisecond. */
    template <class Check>
    void run(duration length, Check each_step) {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds{1};
            deliver();
            for (auto& [index, item] : m_members)
                if (alive(*item) && m_now >= item->m_next)
                    beat(index, *item);
            each_step();
        }
    }

    void run(duration length) {
        run(length, [] {});
    }

    /*! @brief Slots of a limit that an entry would use this very moment. */
    std::uint32_t usable(std::size_t index, upstream_id upstream,
                         share_kind kind, std::uint32_t slots) {
        fake_member& of = *m_members.at(index);
        if (!alive(of) || of.m_leaving || !of.m_table.has_majority(local(of)))
            return 0;
        return of.m_shares.usable(upstream, kind, slots);
    }

    fake_member& at(std::size_t index) { return *m_members.at(index); }
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    random_source& random() { return m_random; }

    bool alive(const fake_member& of) const {
        return !of.m_dead && m_now >= of.m_thaw;
    }

    time_point local(const fake_member& of) const {
        return m_now + of.m_offset;
    }

private:
    struct packet {
        time_point m_due;
        std::size_t m_to;
        heartbeat m_message;
    };

    static address where(std::size_t index) {
        return {static_cast<std::uint32_t>(index), 1};
    }

    void beat(std::size_t index, fake_member& of) {
        of.m_next = m_now + member_timing{}.m_period;
        const bool settled = m_now >= of.m_busy_until;
        for (auto& out : of.m_table.tick(local(of), settled, {})) {
            const std::size_t to = out.m_to.front().m_ip;
            const duration delay{100 + m_random(2000)};
            if (!m_cuts.contains({index, to}) && m_members.contains(to))
                m_packets.push_back({m_now + delay, to, out.m_message});
        }
        follow(of);
    }

    void deliver() {
        std::deque<packet> later;
        for (packet& item : m_packets) {
            fake_member& to = *m_members.at(item.m_to);
            if (to.m_dead)
                continue;
            if (item.m_due > m_now || !alive(to)) {
                later.push_back(std::move(item));
                continue;
            }
            to.m_table.received(item.m_message, local(to));
            follow(to);
        }
        m_packets = std::move(later);
    }

    void follow(fake_member& of) {
        for (const member_change& change : of.m_table.take_changes())
            if (change.m_kind == member_change::kind::lapsed)
                of.m_shares.revoke_all();
        if (of.m_epoch != of.m_table.epoch()) {
            of.m_epoch = of.m_table.epoch();
            of.m_shares.view_changed(of.m_table.view());
        }
        if (!of.m_leaving && of.m_table.agreed(local(of)))
            of.m_shares.view_agreed();
    }

    random_source m_random;
    std::size_t m_count;
    std::uint64_t m_incarnation{};
    time_point m_now{seconds{1}};
    std::map<std::size_t, std::unique_ptr<fake_member>> m_members;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::deque<packet> m_packets;
};

} // namespace skylark::test

#endif
