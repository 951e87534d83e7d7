// Entries that watch a fake store for their zones, in virtual time. The store
// turns some of them away, in each of the ways that a store can.
#ifndef TEST_MEMBER_FAKE_WATCHERS_HPP
#define TEST_MEMBER_FAKE_WATCHERS_HPP

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include <skylark/config/store_reachability.hpp>
#include <skylark/config/watch_schedule.hpp>

#include "test/member/fake_rosters.hpp"

namespace skylark::test {

/*! @brief What a store does to an entry that it turns away. */
enum class turned { refused, reset, silent, slow };

/*! @brief The fleet with its store. Calls take the times of the product's
 *  store client. */
class fake_watchers {
public:
    fake_watchers(std::size_t count, std::size_t zones, duration wait,
                  std::uint64_t seed)
        : m_fleet{count, zones, seed}, m_wait{wait} {
        for (std::size_t i = 1; i <= count; ++i) {
            m_entries.try_emplace(i, watch_schedule{wait + trust_margin});
            m_entries.at(i).m_next =
                m_fleet.now() + seconds{1} + milliseconds{i % 7 * 30};
            m_entries.at(i).m_turn.start(m_fleet.now(), true);
        }
        m_fleet.m_mark = [this](std::size_t i) { return mark(i); };
        m_fleet.m_heard = [this](std::size_t i, const heartbeat& from) {
            heard(i, from);
        };
        m_fleet.m_turn = [this] {
            for (auto& [index, item] : m_entries)
                step(index, item);
        };
    }

    /*! @brief First watchers of a zone, best first, as one of them sees it. */
    std::vector<std::size_t> watchers(std::size_t zone, std::size_t count) {
        std::vector<std::size_t> out;
        for (const entry_id id :
             m_fleet.at(zone).relays_of(m_fleet.zone_of(zone), count, now()))
            out.push_back(id.value());
        return out;
    }

    void turn_away(const std::vector<std::size_t>& whom, turned how) {
        m_how = how;
        m_away = {whom.begin(), whom.end()};
        for (const std::size_t index : whom) {
            entry& item = m_entries.at(index);
            if (!item.m_ends)
                continue;
            if (how == turned::reset)
                item.m_ends = now();
            if (how == turned::silent)
                item.m_ends = *item.m_ends + answer_margin;
            item.m_fails = how != turned::slow;
        }
    }

    void let_all_in() { m_away.clear(); }
    void publish() { ++m_revision; }
    void run(duration length) { m_fleet.run(length); }
    time_point now() const { return m_fleet.now(); }
    std::size_t calls() const { return m_calls; }

    /*! @brief Entries that are not turned away and lack the newest revision. */
    std::vector<std::size_t> behind() const {
        std::vector<std::size_t> out;
        for (const auto& [index, item] : m_entries)
            if (!m_away.contains(index) && item.m_revision < m_revision)
                out.push_back(index);
        return out;
    }

private:
    static constexpr duration trust_margin{milliseconds{1500}};
    static constexpr duration latency{milliseconds{5}};
    static constexpr duration listing{milliseconds{25}};
    static constexpr duration slowness{milliseconds{500}};
    static constexpr duration answer_margin{milliseconds{900}};
    static constexpr duration gathering{milliseconds{250}};
    static constexpr duration retry{milliseconds{500}};
    static constexpr duration turn_check{milliseconds{200}};
    static constexpr duration fetch{milliseconds{30}};

    struct entry {
        watch_schedule m_turn;
        store_reachability m_reach;
        std::uint64_t m_revision{};
        time_point m_confirmed{seconds{100}};
        time_point m_asked;
        time_point m_next;                // when to look whether to call
        std::optional<time_point> m_ends; // of the call under way
        bool m_fails{};
        bool m_listed{};
        std::optional<time_point> m_fetched; // from a peer
        std::uint64_t m_fetching{};
    };

    config_mark mark(std::size_t index) const {
        const entry& item = m_entries.at(index);
        return {item.m_revision, 0, now() - item.m_confirmed,
                item.m_reach.lost(now())};
    }

    void heard(std::size_t index, const heartbeat& from) {
        entry& item = m_entries.at(index);
        const config_mark& theirs = from.m_config;
        if (theirs.m_revision >= item.m_revision)
            item.m_confirmed =
                std::max(item.m_confirmed, now() - theirs.m_confirmed_age);
        if (theirs.m_revision <= item.m_revision || item.m_fetched)
            return;
        item.m_fetched = now() + fetch;
        item.m_fetching = theirs.m_revision;
    }

    void step(std::size_t index, entry& item) {
        if (item.m_fetched && *item.m_fetched <= now()) {
            item.m_revision = std::max(item.m_revision, item.m_fetching);
            item.m_fetched.reset();
        }
        const bool away = m_away.contains(index);
        if (item.m_ends) {
            const bool news = !away && item.m_revision < m_revision;
            if (news && !item.m_fails)
                item.m_ends = std::min(*item.m_ends, now() + latency);
            if (*item.m_ends <= now())
                end_call(index, item);
            return;
        }
        if (item.m_next > now())
            return;
        const auto first = m_fleet.at(index).watchers_of(
            m_fleet.zone_of(index), m_fleet.at(index).single_zone() ? 2 : 1,
            now());
        const bool elected = std::find(first.begin(), first.end(),
                                       entry_id{index}) != first.end();
        const watch_state state{elected, item.m_reach.lost(now()),
                                now() - item.m_confirmed};
        if (!item.m_turn.due(now(), state)) {
            item.m_next = now() + turn_check;
            return;
        }
        begin_call(item, away);
    }

    void begin_call(entry& item, bool away) {
        const duration wait = item.m_listed ? m_wait : duration{0};
        ++m_calls;
        item.m_asked = now();
        item.m_reach.call_started(now(), wait);
        item.m_fails = away && m_how != turned::slow;
        item.m_ends = now() + wait + (item.m_listed ? latency : listing);
        if (!away)
            return;
        if (m_how == turned::silent)
            item.m_ends = now() + wait + answer_margin;
        else if (m_how == turned::slow)
            item.m_ends = *item.m_ends + slowness;
        else
            item.m_ends = now() + latency;
    }

    void end_call(std::size_t index, entry& item) {
        item.m_ends.reset();
        if (item.m_fails) {
            const bool before = item.m_reach.lost(now());
            item.m_reach.call_failed();
            item.m_next = now() + retry;
            if (!before)
                m_fleet.beat(index);
            return;
        }
        item.m_reach.call_succeeded();
        const bool news = item.m_revision < m_revision;
        const duration waited = item.m_listed ? m_wait : duration{0};
        item.m_listed = true;
        item.m_revision = m_revision;
        item.m_confirmed = item.m_asked + (news ? duration{0} : waited);
        item.m_next = now() + gathering;
    }

    fake_rosters m_fleet;
    duration m_wait;
    std::map<std::size_t, entry> m_entries;
    std::set<std::size_t> m_away;
    turned m_how{turned::refused};
    std::uint64_t m_revision{1};
    std::size_t m_calls{};
};

} // namespace skylark::test

#endif
