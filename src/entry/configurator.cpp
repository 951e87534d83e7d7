// Brings configuration and instance list into this entry, from the store.
#include "entry/configurator.hpp"

#include <algorithm>
#include <utility>

#include <skylark/core/hash.hpp>

#include "core/overloaded.hpp"

namespace skylark::entry {

namespace {
constexpr auto turn_check = milliseconds{200};
constexpr auto first_turn_check = milliseconds{5}; // until there is a list
constexpr auto list_patience = seconds{30};
// Beyond the wait of a watcher's call: the pause after it, heartbeats over
// relays, and as much again.
constexpr duration trust_margin = milliseconds{1500};
// Entries that miss the confirmation together ask one after the other, and the
// first of them tells the rest.
constexpr std::uint32_t trust_steps = 16;
constexpr auto trust_step = milliseconds{150};
// Upstreams that are alive have written their records again this long after
// the store was restored.
constexpr auto rewrite_time = milliseconds{2200};
constexpr std::size_t answer_limit = 8 * defaults::document_bytes;
// Silence of all peers after which an entry watches the store for itself: both
// relays of a zone may have died, and it takes this long to find others.
constexpr auto peer_silence_limit = milliseconds{1100};
constexpr auto spread_step = milliseconds{25};

// From a call that stays unanswered until its successor's news is everywhere:
// lateness, a heartbeat, a check of the turn, a listing, two heartbeats over
// relays, a fetch.
constexpr duration hand_over_time = milliseconds{1200};
constexpr duration least_wait = milliseconds{300};
constexpr duration most_wait = milliseconds{1800};

duration watch_wait(const settings& from) {
    return std::clamp<duration>(from.m_apply_limit - hand_over_time, least_wait,
                                most_wait);
}

// Spreads entries over time that act for the same reason at the same moment.
duration spread(const settings& from, duration step) {
    return step * (hash(from.m_name) % trust_steps);
}

duration longest_trust(const settings& from) {
    return watch_wait(from) + trust_margin + spread(from, trust_step);
}

} // namespace

configurator::configurator(context& shared, std::function<void()> changed)
    : m_shared{shared}, m_changed{std::move(changed)}, m_store{open_store()},
      m_documents{shared.m_loop, answer_limit, plan(), document_hooks()},
      m_lists{shared.m_loop, answer_limit, plan(), list_hooks()},
      m_guard{list_patience}, m_memory{rewrite_time},
      m_document_turn{longest_trust(shared.m_settings)},
      m_list_turn{longest_trust(shared.m_settings)} {}

void configurator::start() {
    const time_point now = io::event_loop::now();
    const bool bootstrap = m_shared.m_settings.m_bootstrap;
    m_document_turn.start(now, bootstrap);
    m_list_turn.start(now, bootstrap);
    watch_document();
    watch_instances();
}

store::client configurator::open_store() {
    const settings& from = m_shared.m_settings;
    const platform::deployment_terms terms{from.m_zones,
                                           from.m_questions_per_upstream};
    const auto note = [this](const input_error& why) {
        m_shared.m_journal.note(event_kind::configuration, "store record",
                                "cannot be used: " + why.text());
    };
    if (from.m_deployment == deployment::native)
        return store::client{std::in_place_type<store::polling_client>,
                             m_shared.m_loop, from.m_platform, note};
    return store::client{std::in_place_type<store::mirror_client>,
                         m_shared.m_loop,
                         from.m_platform,
                         terms,
                         watch_wait(from),
                         note};
}

// The announcement came some time after the change, and the store's answer
// takes time, so the store is asked early in the time for a change.
transfer_plan configurator::plan() const {
    const settings& from = m_shared.m_settings;
    constexpr int store_part = 4;
    constexpr int part_in_progress = 2;
    transfer_timing timing;
    timing.m_store_delay =
        from.m_apply_limit / store_part + spread(from, spread_step);
    timing.m_store_delay_in_progress =
        from.m_apply_limit / part_in_progress + spread(from, spread_step);
    return {timing, hash(from.m_name)};
}

bool configurator::is_turn(watch_schedule& of,
                           const peer_transfer& from_peers) const {
    const time_point now = io::event_loop::now();
    const bool lost = m_store.lost(now);
    // Peers no longer tell an entry that leaves, or that none of them reaches.
    const bool untold =
        m_shared.m_drain ||
        m_shared.m_fleet.cut_off(peer_silence_limit +
                                 spread(m_shared.m_settings, spread_step));
    const bool watches = m_shared.m_fleet.is_watcher(now) || (untold && !lost);
    const watch_state state{
        watches,     lost,         m_shared.m_config.age(now),
        knows_all(), m_peer_knows, from_peers.plan().overdue(now)};
    return of.due(now, state);
}

bool configurator::knows_all() const {
    return m_shared.m_config.ready() && m_shared.m_instances.m_index.known();
}

duration configurator::next_check() const {
    return knows_all() ? turn_check : first_turn_check;
}

// The peers learn at once that another entry has to watch.
void configurator::note_store() {
    const bool lost = m_store.lost(io::event_loop::now());
    if (std::exchange(m_noted_lost, lost) == lost)
        return;
    m_shared.m_journal.note(event_kind::configuration, "store",
                            lost ? "does not answer" : "answers again");
    m_shared.m_fleet.beat();
}

void configurator::watch_document() {
    if (!is_turn(m_document_turn, m_documents)) {
        m_shared.m_loop.after(next_check(), [this] { watch_document(); });
        return;
    }
    m_shared.m_metrics.count(counter::store_reads);
    const time_point asked = io::event_loop::now();
    m_store_call = asked;
    // The store's document may be older than the one in force, at a later
    // position.
    const store_position seen = std::max(m_shared.m_config.position(),
                                         m_shared.m_config.reverted_position());
    m_store.read(seen, m_store.max_read_wait(),
                 [this, asked](const store::read_result& result) {
                     take_document(result, asked);
                 });
}

void configurator::take_document(const store::read_result& result,
                                 time_point asked) {
    duration wait{0};
    std::visit(
        overloaded{[&](const store::stored_value& value) {
                       config_adoption& config = m_shared.m_config;
                       const store_position& at = value.m_position;
                       const bool usable = at >= config.position();
                       const bool absent = !at.known();
                       if (!absent)
                           offer(at, value.m_text, "store");
                       // Also by an older version: the store has no newer one.
                       if (usable)
                           confirm(m_store.confirmed_at(asked));
                       if (!usable ||
                           (absent && !m_store.authoritative_instances()) ||
                           at == config.refused_position())
                           wait = defaults::store_retry_wait;
                   },
                   [&](const store::store_failure&) {
                       m_shared.m_metrics.count(counter::store_failures);
                       wait = m_store.retry_wait(io::event_loop::now());
                   }},
        result);
    note_store();
    m_shared.m_loop.after(wait, [this] { watch_document(); });
}

void configurator::watch_instances() {
    if (!is_turn(m_list_turn, m_lists)) {
        m_shared.m_loop.after(next_check(), [this] { watch_instances(); });
        return;
    }
    m_shared.m_metrics.count(counter::store_reads);
    m_store.instances(
        m_shared.m_instances.m_index, m_store.max_read_wait(),
        [this](const store::list_result& result) { take_instances(result); });
}

void configurator::take_instances(const store::list_result& result) {
    duration wait{0};
    if (const auto* list = std::get_if<instance_list>(&result)) {
        offer_instances(*list, "store");
        if (list->m_index < m_shared.m_instances.m_index ||
            m_guard.is_holding())
            wait = defaults::store_retry_wait; // an old list, or one that is
                                               // held back
    } else {
        m_shared.m_metrics.count(counter::store_failures);
        wait = m_store.retry_wait(io::event_loop::now());
    }
    note_store();
    m_shared.m_loop.after(wait, [this] { watch_instances(); });
}

void configurator::offer_instances(instance_list list,
                                   std::string_view source) {
    if (!list.m_index.known() || list.m_index <= m_shared.m_instances.m_index)
        return;
    const bool doubted = m_guard.is_holding();
    if (!m_store.authoritative_instances() &&
        !m_guard.accepts(m_shared.m_instances, list, io::event_loop::now())) {
        if (!doubted)
            m_shared.m_journal.note(
                event_kind::configuration,
                "instance list " + text_of(list.m_index),
                "held back: it drops most upstreams at once");
        return;
    }
    const store_position before = m_shared.m_instances.m_index;
    note_era(list.m_index.m_era);
    const bool corrected = m_memory.reconcile(list, io::event_loop::now());
    drop_resurrected(list, m_shared.m_instances);
    m_shared.m_instances = std::move(list);
    m_log.update(m_shared.m_instances, corrected);
    m_lists.adopted({0, m_shared.m_instances.m_index});
    note_instances(m_log.since(before), source);
    m_changed();
}

config_mark configurator::mark() const {
    constexpr duration unknown = std::chrono::hours{24};
    const time_point now = io::event_loop::now();
    const config_order& order = m_shared.m_config.order();
    return {order.m_position, m_shared.m_instances.m_index,
            std::min(m_shared.m_config.age(now), unknown), m_store.lost(now),
            order.m_version};
}

} // namespace skylark::entry
