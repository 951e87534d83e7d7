// Records the stages of roll-outs in the platform's store.
#include "entry/rollout_coordinator.hpp"

#include <algorithm>
#include <cmath>

#include "core/overloaded.hpp"

namespace skylark::entry {

namespace {
constexpr auto step_period = milliseconds{100};
// After a failed write, and after one whose result the watch has not delivered.
constexpr auto retry_wait = seconds{1};
constexpr auto watch_wait = seconds{3};
// An entry that has just started has not heard the sums of the others yet;
// reports pass two relays, 1.2 s.
constexpr auto settling_time = seconds{3};
} // namespace

rollout_coordinator::rollout_coordinator(context& shared)
    : m_shared{shared}, m_writer{shared.m_loop, shared.m_settings.m_platform} {}

void rollout_coordinator::start() {
    m_shared.m_loop.every(step_period, [this] { step(); });
}

void rollout_coordinator::step() {
    if (m_shared.m_rollouts.all().empty())
        return;
    // The finding is sent at once, so that no entry goes on sending.
    if (m_shared.m_rollouts.judge())
        m_shared.m_fleet.beat();
    update_gauges();
    const time_point now = io::event_loop::now();
    if (m_shared.m_drain || now - m_started < settling_time ||
        !m_shared.m_fleet.is_first(now))
        return;
    for (auto& [service, state] : m_shared.m_rollouts.all())
        record(state, now);
}

void rollout_coordinator::record(rollout_state& state, time_point now) {
    write_state& write = m_writes[state.m_order.m_service];
    const bool known_result =
        write.m_status_revision != state.m_order.m_status_revision;
    if (write.m_in_progress || (now < write.m_next && !known_result))
        return;
    const auto next =
        plan_write({state.m_order.m_stage, state.m_verdict, state.times(now),
                    m_shared.m_rollouts.earlier_drained(state),
                    !state.m_canaries.empty()});
    if (!next)
        return;
    // The entries that are not heard may have found the version bad.
    const bool decides_good = (*next == rollout_stage::promoted ||
                               *next == rollout_stage::completed) &&
                              state.m_order.m_stage != rollout_stage::promoted;
    if (decides_good && !hears_most())
        return;
    rollout_order order = state.m_order;
    order.m_stage = *next;
    if (order.m_seen_ms == 0)
        order.m_seen_ms = journal::wall_ms() - static_cast<std::uint64_t>(
                                                   to_ms(now - state.m_began));
    write.m_in_progress = true;
    write.m_status_revision = order.m_status_revision;
    m_writer.write(order, [this, service = order.m_service,
                           stage = *next](const store::write_result& result) {
        written(service, stage, result);
    });
}

bool rollout_coordinator::hears_most() const {
    const fleet& members = m_shared.m_fleet;
    return 2 * members.size() > members.peers().size() + 1;
}

void rollout_coordinator::written(const std::string& service,
                                  rollout_stage stage,
                                  const store::write_result& result) {
    write_state& write = m_writes[service];
    write.m_in_progress = false;
    duration wait = watch_wait;
    const std::string detail =
        "record " + std::string{name_of(stage)} + ": " +
        std::visit(overloaded{[](const store::written&) {
                                  return std::string{"written"};
                              },
                              [](const store::write_conflict&) {
                                  return std::string{"another entry wrote"};
                              },
                              [&](const store::store_failure& why) {
                                  wait = retry_wait;
                                  return why.m_cause;
                              }},
                   result);
    write.m_next = io::event_loop::now() + wait;
    m_shared.m_journal.note(event_kind::rollout, service, detail);
}

void rollout_coordinator::update_gauges() {
    constexpr double percent = 100.0;
    double share = 0.0;
    std::int64_t stage = 0;
    for (const auto& [service, state] : m_shared.m_rollouts.all()) {
        if (is_final(state.m_order.m_stage))
            continue;
        share = std::max(share, state.m_plan.m_target_share);
        stage = std::max(stage,
                         static_cast<std::int64_t>(state.m_order.m_stage) + 1);
    }
    m_shared.m_metrics.set(gauge::rollout_share, std::llround(share * percent));
    m_shared.m_metrics.set(gauge::rollout_stage, stage);
}

} // namespace skylark::entry
