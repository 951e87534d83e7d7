// Member tables with their share tables in virtual time, connected by a fake
// network. Links can be cut per direction, and members can be killed or frozen.
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

/*! @brief One member with its tables and its clock. */
struct fake_member {
    fake_member(const member_record& self, std::vector<address> seeds,
                time_point now)
        : m_table{self, std::move(seeds), {}, now}, m_shares{self.m_name.m_id} {
    }

    member_table m_table;
    share_table m_shares;
    std::uint64_t m_epoch{};
    duration m_clock_offset{};   //!< of its clock from the fleet time
    time_point m_next_round{};   //!< next heartbeat round; fleet time
    time_point m_frozen_until{}; //!< frozen before this; fleet time
    bool m_dead{};
    //! End of the request that occupies the slot under test; fleet time.
    time_point m_busy_until{};
    bool m_leaving{};
};

/*! @brief Simulated fleet. Entry n has id n and address n. */
class fake_fleet {
public:
    fake_fleet(std::size_t count, std::uint64_t seed)
        : m_random{seed}, m_count{count} {
        for (std::size_t i = 1; i <= count; ++i)
            start(i);
    }

    /*! @brief Starts an entry, or restarts it under a new incarnation. */
    void start(std::size_t index) {
        member_record self;
        self.m_name = {entry_id{index}, ++m_incarnation * 1000};
        self.m_contact.m_peer = address_of(index);
        std::vector<address> seeds;
        for (std::size_t i = 1; i <= m_count; ++i)
            seeds.push_back(address_of(i));
        const duration offset{static_cast<std::int64_t>(m_random(1000)) * 1000};
        auto created =
            std::make_unique<fake_member>(self, seeds, m_now + offset);
        created->m_clock_offset = offset;
        created->m_next_round = m_now + microseconds{m_random(200'000)};
        m_members[index] = std::move(created);
    }

    void kill(std::size_t index) { m_members.at(index)->m_dead = true; }

    void freeze(std::size_t index, duration length) {
        m_members.at(index)->m_frozen_until = m_now + length;
    }

    /*! @brief Cuts or restores the link from one entry to another.
     *  @param from the sender
     *  @param to the receiver
     *  @param down whether heartbeats in this direction are lost */
    void cut(std::size_t from, std::size_t to, bool down) {
        if (down)
            m_cut_links.insert({from, to});
        else
            m_cut_links.erase({from, to});
    }

    /*! @brief Restores all links. */
    void heal() { m_cut_links.clear(); }

    /*! @brief Advances the time in steps of a millisecond.
     *  @param length how far
     *  @param each_step called after each step */
    template <class Check>
    void run(duration length, Check each_step) {
        const time_point end = m_now + length;
        while (m_now < end) {
            m_now += milliseconds{1};
            deliver();
            for (auto& [index, item] : m_members)
                if (alive(*item) && m_now >= item->m_next_round)
                    run_round(index, *item);
            each_step();
        }
    }

    void run(duration length) {
        run(length, [] {});
    }

    /*! @brief Slots of a limit that an entry may use now; 0 if it is not
     *  running, is leaving or has no majority. */
    std::uint32_t usable(std::size_t index, upstream_id upstream,
                         share_kind kind, std::uint32_t slots) {
        fake_member& of = *m_members.at(index);
        if (!alive(of) || of.m_leaving ||
            !of.m_table.has_majority(local_time(of)))
            return 0;
        return of.m_shares.usable(upstream, kind, slots);
    }

    fake_member& at(std::size_t index) { return *m_members.at(index); }
    [[nodiscard]] time_point now() const { return m_now; }
    [[nodiscard]] std::size_t size() const { return m_members.size(); }
    random_source& random() { return m_random; }

    bool alive(const fake_member& of) const {
        return !of.m_dead && m_now >= of.m_frozen_until;
    }

    time_point local_time(const fake_member& of) const {
        return m_now + of.m_clock_offset;
    }

private:
    struct packet {
        time_point m_due;
        std::size_t m_to;
        heartbeat m_message;
    };

    static address address_of(std::size_t index) {
        return {static_cast<std::uint32_t>(index), 1};
    }

    void run_round(std::size_t index, fake_member& of) {
        of.m_next_round = m_now + member_timing{}.m_period;
        const bool settled = m_now >= of.m_busy_until;
        for (auto& out : of.m_table.tick(local_time(of), settled, {})) {
            const std::size_t to = out.m_to.front().m_ip;
            const duration delay{100 + m_random(2000)};
            if (!m_cut_links.contains({index, to}) && m_members.contains(to))
                m_packets.push_back({m_now + delay, to, out.m_message});
        }
        update_shares(of);
    }

    void deliver() {
        std::deque<packet> pending;
        for (packet& item : m_packets) {
            fake_member& to = *m_members.at(item.m_to);
            if (to.m_dead)
                continue;
            if (item.m_due > m_now || !alive(to)) {
                pending.push_back(std::move(item));
                continue;
            }
            to.m_table.received(item.m_message, local_time(to));
            update_shares(to);
        }
        m_packets = std::move(pending);
    }

    void update_shares(fake_member& of) {
        for (const member_change& change : of.m_table.take_changes())
            if (change.m_kind == member_change::kind::lapsed)
                of.m_shares.revoke_all();
        if (of.m_epoch != of.m_table.epoch()) {
            of.m_epoch = of.m_table.epoch();
            of.m_shares.view_changed(of.m_table.view());
        }
        if (!of.m_leaving && of.m_table.agreed(local_time(of)))
            of.m_shares.view_agreed();
    }

    random_source m_random;
    std::size_t m_count;
    std::uint64_t m_incarnation{};
    time_point m_now{seconds{1}};
    std::map<std::size_t, std::unique_ptr<fake_member>> m_members;
    std::set<std::pair<std::size_t, std::size_t>> m_cut_links;
    std::deque<packet> m_packets;
};

} // namespace skylark::test

#endif
