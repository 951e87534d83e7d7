// Entries that watch a fake store for their zones, in virtual time. The store
// can fail the calls of some entries while it serves the others.
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

/*! @brief How the store fails the calls of an entry. */
enum class store_fault {
    refused, //!< fails new calls at once, and calls in progress at their end
    reset,   //!< fails new calls and those in progress at once
    silent,  //!< does not answer; all calls time out
    slow     //!< answers new calls late, with success
};

/*! @brief Simulated fleet with its store. Calls take as long as those of the
 *  real store client. */
class fake_watchers {
public:
    fake_watchers(std::size_t count, std::size_t zones, duration wait,
                  std::uint64_t seed)
        : m_fleet{count, zones, seed}, m_wait{wait} {
        for (std::size_t i = 1; i <= count; ++i) {
            m_entries.try_emplace(i, watch_schedule{wait + fallback_margin});
            m_entries.at(i).m_next_check =
                m_fleet.now() + seconds{1} + milliseconds{i % 7 * 30};
            m_entries.at(i).m_schedule.start(m_fleet.now(), true);
        }
        m_fleet.m_announced_config = [this](std::size_t i) {
            return config_of(i);
        };
        m_fleet.m_on_received = [this](std::size_t i, const heartbeat& from) {
            received(i, from);
        };
        m_fleet.m_on_step = [this] {
            for (auto& [index, item] : m_entries)
                step(index, item);
        };
    }

    /*! @brief First watchers of a zone, best first, as ranked by one of
     *  its entries. */
    std::vector<std::size_t> watchers(std::size_t zone, std::size_t count) {
        std::vector<std::size_t> out;
        for (const entry_id id :
             m_fleet.at(zone).relays_of(m_fleet.zone_of(zone), count, now()))
            out.push_back(id.value());
        return out;
    }

    /*! @brief Fails the calls of these entries, and no others, from now on. */
    void inject_fault(const std::vector<std::size_t>& entries,
                      store_fault fault) {
        m_fault = fault;
        m_faulty = {entries.begin(), entries.end()};
        for (const std::size_t index : entries) {
            entry& item = m_entries.at(index);
            if (!item.m_call_end)
                continue;
            if (fault == store_fault::reset)
                item.m_call_end = now();
            if (fault == store_fault::silent)
                item.m_call_end = *item.m_call_end + response_timeout;
            item.m_call_fails = fault != store_fault::slow;
        }
    }

    /*! @brief Serves all entries again. */
    void clear_faults() { m_faulty.clear(); }
    /*! @brief Stores a new revision of the configuration. */
    void publish() { ++m_revision; }
    void run(duration length) { m_fleet.run(length); }
    time_point now() const { return m_fleet.now(); }
    std::size_t calls() const { return m_calls; }

    /*! @brief Entries that the store serves but that lack the newest
     *  revision. */
    std::vector<std::size_t> outdated() const {
        std::vector<std::size_t> out;
        for (const auto& [index, item] : m_entries)
            if (!m_faulty.contains(index) && item.m_revision < m_revision)
                out.push_back(index);
        return out;
    }

private:
    static constexpr duration fallback_margin{milliseconds{1500}};
    static constexpr duration latency{milliseconds{5}};
    static constexpr duration read_latency{milliseconds{25}};
    static constexpr duration slow_delay{milliseconds{500}};
    static constexpr duration response_timeout{milliseconds{900}};
    static constexpr duration call_pause{milliseconds{250}};
    static constexpr duration retry_delay{milliseconds{500}};
    static constexpr duration prompt_retry{milliseconds{50}};
    // Wait of the call after a failed one.
    static constexpr duration retry_wait{milliseconds{100}};
    static constexpr duration check_interval{milliseconds{200}};
    static constexpr duration fetch_latency{milliseconds{30}};

    struct entry {
        watch_schedule m_schedule;
        store_reachability m_reachability;
        std::uint64_t m_revision{};
        time_point m_confirmed{seconds{100}};
        time_point m_call_start;
        duration m_call_wait{};
        time_point m_next_check;              // next check whether to call
        std::optional<time_point> m_call_end; // of the call in progress
        bool m_call_fails{};
        bool m_has_value{};
        // End of the transfer from a peer that is in progress.
        std::optional<time_point> m_fetch_end;
        store_position m_fetched_revision;
    };

    config_mark config_of(std::size_t index) const {
        const entry& item = m_entries.at(index);
        return {item.m_revision, 0, now() - item.m_confirmed,
                item.m_reachability.lost(now())};
    }

    void received(std::size_t index, const heartbeat& from) {
        entry& item = m_entries.at(index);
        const config_mark& peer_mark = from.m_config;
        if (peer_mark.m_revision >= item.m_revision)
            item.m_confirmed =
                std::max(item.m_confirmed, now() - peer_mark.m_confirmed_age);
        if (peer_mark.m_revision <= item.m_revision || item.m_fetch_end)
            return;
        item.m_fetch_end = now() + fetch_latency;
        item.m_fetched_revision = peer_mark.m_revision;
    }

    void step(std::size_t index, entry& item) {
        if (item.m_fetch_end && *item.m_fetch_end <= now()) {
            item.m_revision =
                std::max(item.m_revision, item.m_fetched_revision.m_revision);
            item.m_fetch_end.reset();
        }
        const bool faulty = m_faulty.contains(index);
        if (item.m_call_end) {
            const bool has_update = !faulty && item.m_revision < m_revision;
            if (has_update && !item.m_call_fails)
                item.m_call_end = std::min(*item.m_call_end, now() + latency);
            if (*item.m_call_end <= now())
                end_call(index, item);
            return;
        }
        if (item.m_next_check > now())
            return;
        const auto elected_entries = m_fleet.at(index).watchers_of(
            m_fleet.zone_of(index), m_fleet.at(index).single_zone() ? 2 : 1,
            now());
        const bool elected =
            std::find(elected_entries.begin(), elected_entries.end(),
                      entry_id{index}) != elected_entries.end();
        const watch_state state{elected, item.m_reachability.lost(now()),
                                now() - item.m_confirmed};
        if (!item.m_schedule.due(now(), state)) {
            item.m_next_check = now() + check_interval;
            return;
        }
        begin_call(item, faulty);
    }

    [[nodiscard]] duration call_wait(const entry& item) const {
        if (!item.m_has_value)
            return duration{0};
        return item.m_reachability.last_call_failed() ? duration{retry_wait}
                                                      : m_wait;
    }

    void begin_call(entry& item, bool faulty) {
        const duration wait = call_wait(item);
        ++m_calls;
        item.m_call_start = now();
        item.m_call_wait = wait;
        item.m_reachability.call_started(now(), wait);
        item.m_call_fails = faulty && m_fault != store_fault::slow;
        item.m_call_end =
            now() + wait + (item.m_has_value ? latency : read_latency);
        if (!faulty)
            return;
        if (m_fault == store_fault::silent)
            item.m_call_end = now() + wait + response_timeout;
        else if (m_fault == store_fault::slow)
            item.m_call_end = *item.m_call_end + slow_delay;
        else
            item.m_call_end = now() + latency;
    }

    void end_call(std::size_t index, entry& item) {
        item.m_call_end.reset();
        if (item.m_call_fails) {
            const bool was_lost = item.m_reachability.lost(now());
            item.m_reachability.call_failed(now());
            const bool lost = item.m_reachability.lost(now());
            item.m_next_check = now() + (lost ? retry_delay : prompt_retry);
            if (lost && !was_lost)
                m_fleet.run_round(index);
            return;
        }
        item.m_reachability.call_succeeded(now());
        const bool has_update = item.m_revision < m_revision;
        item.m_has_value = true;
        item.m_revision = m_revision;
        item.m_confirmed =
            item.m_call_start + (has_update ? duration{0} : item.m_call_wait);
        item.m_next_check = now() + call_pause;
    }

    fake_rosters m_fleet;
    duration m_wait;
    std::map<std::size_t, entry> m_entries;
    std::set<std::size_t> m_faulty;
    store_fault m_fault{store_fault::refused};
    std::uint64_t m_revision{1};
    std::size_t m_calls{};
};

} // namespace skylark::test

#endif
