// One entry instance: wires its parts together and runs its life.
#include "entry/node.hpp"

#include <skylark/core/hash.hpp>
#include <skylark/core/random.hpp>
#include <skylark/limit/retry_after.hpp>

#include "entry/entry_list.hpp"

namespace skylark::entry {

namespace {
constexpr auto isolation_check = milliseconds{100};
// Until then others may try the address of an entry that died; heartbeats tell
// them whether it lives.
constexpr auto place_life = seconds{15};
constexpr auto gauge_period = milliseconds{500};
constexpr auto place_check = milliseconds{500};

std::uint64_t seed_of(const settings& from) {
    return from.m_seed != 0 ? from.m_seed : hash(from.m_name);
}

// Until the first configuration nobody knows how large a request may be, so
// only the process bounds it; the request is refused as not run.
io::server_limits starting_limits(const settings& from) {
    io::server_limits out;
    out.m_body_bytes = from.m_input_bytes;
    out.m_input_bytes = from.m_input_bytes;
    out.m_concurrent_requests = from.m_pipelined_requests;
    return out;
}

} // namespace

node::node(io::event_loop& loop, const settings& from)
    : m_shared{loop, from}, m_callers{loop, starting_limits(from),
                                      &m_shared.m_windows},
      m_forwarder{m_shared, m_callers, seed_of(from)},
      m_configurator{m_shared, [this] { adopt(); }}, m_prober{m_shared,
                                                              m_forwarder},
      m_control{m_shared, m_forwarder, m_configurator}, m_lookup{m_shared},
      m_rollout_coordinator{m_shared}, m_memory_level{from.m_machine_memory} {
    m_callers.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve_caller(key, request);
         },
         [this](exchange_id key) { m_forwarder.caller_writable(key); },
         [this](exchange_id key, bool complete) {
             m_forwarder.exchange_closed(key, complete);
         },
         [this](int status, const io::request_view& request) {
             m_forwarder.log_rejected(status, request);
         },
         [this](io::discard_cause cause, std::size_t bytes) {
             m_forwarder.log_discarded(cause, bytes);
         },
         [this](const io::request_view& request) {
             return m_forwarder.may_begin_early(request);
         },
         [this, random = random_source{seed_of(from)}]() mutable {
             return std::visit(
                 [&random](const auto& kind) {
                     return kind.refusal_headers(
                         not_run{not_run_proof::not_admitted},
                         retry_after(refusal{}, random), std::nullopt);
                 },
                 m_shared.m_dialect);
         }});
    loop.on_pause(defaults::pause_limit, [this](duration gap) { paused(gap); });
}

parsed<void> node::start() {
    BOOST_OUTCOME_TRYV(m_callers.listen(m_shared.m_settings.m_callers));
    BOOST_OUTCOME_TRYV(m_control.listen());
    BOOST_OUTCOME_TRYV(m_lookup.listen());
    fleet_hooks hooks;
    hooks.m_mark = [this] { return m_configurator.mark(); };
    hooks.m_digests = [this] { return m_prober.digests(); };
    hooks.m_digest = [this](const load_digest& from) {
        m_prober.apply_digest(from);
    };
    hooks.m_settled = [this] { return m_forwarder.within_owned_shares(); };
    hooks.m_changed = [this] { m_forwarder.dispatch_queued(); };
    hooks.m_peer_mark = [this](const member& peer) {
        m_configurator.peer_mark(peer);
    };
    hooks.m_tokens = [this](const allowance_message& message) {
        m_shared.m_allowances.received(message);
    };
    hooks.m_add_exposures = [this](outgoing_heartbeat& out) {
        m_shared.m_rollouts.add_to(out);
    };
    hooks.m_exposures = [this](const heartbeat& message) {
        m_shared.m_rollouts.heard(message);
    };
    BOOST_OUTCOME_TRYV(m_shared.m_fleet.start(std::move(hooks)));
    m_shared.m_allowances.start([this](const allowance_decision& decided) {
        m_forwarder.token_decided(decided);
    });
    m_rollout_coordinator.start();
    m_configurator.start();
    prepare_place();
    // Without shares nobody owns a probe; upstreams are asked before a send.
    if (m_shared.m_settings.m_deployment == deployment::native)
        m_prober.start();
    m_shared.m_loop.every(isolation_check, [this] { watch_isolation(); });
    m_shared.m_loop.every(gauge_period, [this] {
        update_gauges();
        observe_process();
    });
    m_shared.m_journal.note(event_kind::started, m_shared.m_settings.m_name,
                            "callers on " +
                                m_shared.m_settings.m_callers.text());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void node::serve_caller(exchange_id key, const io::request_view& request) {
    // Lookups without an address of their own come with the requests.
    const bool shares_address = !m_shared.m_settings.m_lookup;
    if (!shares_address ||
        !answer_lookup(m_shared, m_callers, key, request.m_path))
        m_forwarder.accept(key, request);
}

// Where the store lists entries, relays keep a place in the list.
void node::watch_place() {
    if (m_shared.m_drain)
        return;
    if (m_listing_policy.step(io::event_loop::now(),
                              m_shared.m_fleet.is_relay()))
        m_place->start();
    else
        m_place->stop();
}

void node::prepare_place() {
    const settings& from = m_shared.m_settings;
    if (from.m_deployment == deployment::native)
        return;
    m_place.emplace(m_shared.m_loop, from.m_platform,
                    std::string{platform::entry_prefix} + from.m_name,
                    from.m_peer.text(), place_life,
                    [this](store::lease_event what) { note_place(what); });
    m_shared.m_loop.every(place_check, [this] { watch_place(); });
}

void node::note_place(store::lease_event what) {
    const auto word = [what] {
        switch (what) {
        case store::lease_event::held:
            return "held";
        case store::lease_event::lost:
            return "lost, taken again";
        case store::lease_event::failed:
            break;
        }
        return "the store does not answer";
    };
    m_shared.m_journal.note(event_kind::member, "place in the store's list",
                            word());
}

void node::adopt() {
    std::vector<address> entries;
    for (const instance& item : m_shared.m_instances.m_instances)
        if (item.m_role == instance_role::entry)
            entries.push_back(item.m_address);
    m_shared.m_fleet.set_listed(entries);
    // The instance list may come before the first configuration.
    if (m_shared.m_config.ready()) {
        const limits& bounds = m_shared.m_config.current().m_limits;
        io::server_limits accepted = starting_limits(m_shared.m_settings);
        accepted.m_body_bytes = bounds.m_body_bytes;
        accepted.m_idle_timeout = bounds.m_idle;
        accepted.m_head_bytes = bounds.m_head_bytes;
        m_callers.set_limits(accepted);
        m_shared.m_allowances.configure(m_shared.m_config.current());
    }
    m_forwarder.upstreams_removed(m_shared.m_upstreams.adopt(
        m_shared.m_config.current(), m_shared.m_instances));
    m_shared.m_rollouts.adopt();
    m_forwarder.dispatch_queued();
}

// Without store and majority nobody can say that a zone is still in force.
void node::watch_isolation() {
    const duration age = m_shared.m_config.age(io::event_loop::now());
    // Where the store arbitrates, there is no majority to wait for.
    if (m_shared.m_settings.m_deployment != deployment::native)
        return;
    const bool isolated = age > m_shared.m_settings.m_isolation_limit &&
                          !m_shared.m_fleet.has_majority();
    if (isolated == m_shared.m_isolated || !m_shared.m_config.ready())
        return;
    m_shared.m_isolated = isolated;
    m_shared.m_journal.note(event_kind::isolation, m_shared.m_settings.m_name,
                            isolated ? "refusing new work" : "serving again");
    m_forwarder.dispatch_queued();
}

void node::update_gauges() {
    metrics& out = m_shared.m_metrics;
    const time_point now = io::event_loop::now();
    const auto signed_size = [](std::size_t size) {
        return static_cast<std::int64_t>(size);
    };
    std::int64_t warm = 0;
    std::int64_t connections = 0;
    for (const auto& [key, item] : m_shared.m_upstreams.all()) {
        warm += item.m_load.state(now) == upstream_state::warm ? 1 : 0;
        connections += item.m_connections;
    }
    out.set(gauge::requests, signed_size(m_forwarder.active()));
    out.set(gauge::queued, signed_size(m_forwarder.queued()));
    out.set(gauge::members, signed_size(m_shared.m_fleet.size()));
    out.set(gauge::config_revision,
            signed_size(m_shared.m_config.position().m_revision));
    out.set(gauge::config_age_ms, to_ms(m_configurator.mark().m_confirmed_age));
    out.set(gauge::config_pending_ms, to_ms(m_configurator.pending_for(now)));
    out.set(gauge::has_majority, m_shared.m_fleet.has_majority() ? 1 : 0);
    out.set(gauge::isolated, m_shared.m_isolated ? 1 : 0);
    out.set(gauge::upstreams_warm, warm);
    out.set(gauge::connections, connections);
    m_shared.m_fleet.set_requests(
        static_cast<std::uint32_t>(m_forwarder.active()));
}

void node::paused(duration gap) {
    const time_point now = io::event_loop::now();
    m_hold_ups.add(now, gap);
    if (m_shared.m_drain)
        m_shared.m_drain->held_up(now, gap);
    m_shared.m_metrics.count(counter::pauses);
    m_shared.m_fleet.paused(gap);
    m_forwarder.process_paused(gap);
    m_shared.m_journal.note(event_kind::pause, m_shared.m_settings.m_name,
                            std::to_string(to_ms(gap)) + " ms");
}

void node::reload(const std::string& path) {
    const auto read = load_settings(path);
    const auto note = [&](const std::string& detail) {
        m_shared.m_journal.note(event_kind::settings, path, detail);
    };
    if (!read) {
        note("refused: " + read.error().text());
        return;
    }
    const settings& next = read.value();
    settings& kept = m_shared.m_settings;
    kept.m_drain_limit = next.m_drain_limit;
    kept.m_entries_ttl = next.m_entries_ttl;
    kept.m_seeds = next.m_seeds;
    m_shared.m_fleet.add_seeds(next.m_seeds);
    const bool same_place =
        kept.m_callers == next.m_callers && kept.m_control == next.m_control &&
        kept.m_peer == next.m_peer && kept.m_platform == next.m_platform &&
        kept.m_zone == next.m_zone;
    note(same_place ? "reloaded"
                    : "reloaded; new addresses or a new zone need a restart");
}

} // namespace skylark::entry
