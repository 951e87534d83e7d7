// Roll-outs at this entry: orders, judgement and the choice of the version.
#include "entry/rollouts.hpp"

#include <algorithm>
#include <cmath>

#include <skylark/core/hash.hpp>

#include "entry/context.hpp"

namespace skylark::entry {

namespace {

// Time since the order by the wall clock of the entry that recorded it. The
// clocks of machines may be off by any amount, so a value that cannot be is
// left out.
duration recorded_age(const rollout_order& order) {
    const std::uint64_t now = journal::wall_ms();
    if (order.m_seen_ms == 0 || now < order.m_seen_ms)
        return duration{0};
    const auto limit = static_cast<std::uint64_t>(to_ms(order.m_duration));
    const std::uint64_t age = now - order.m_seen_ms;
    return age > limit ? duration{0}
                       : milliseconds{static_cast<std::int64_t>(age)};
}

bool is_usable(const upstream& item, time_point now) {
    return item.eligible(now) && item.m_cold_until <= now &&
           item.m_health.usable(now) &&
           item.m_load.state(now) != upstream_state::draining;
}

} // namespace

const rollout_state* rollouts::find(std::string_view service) const {
    const auto found = m_states.find(service);
    return found == m_states.end() ? nullptr : &found->second;
}

rollout_state* rollouts::find(std::string_view service) {
    const auto found = m_states.find(service);
    return found == m_states.end() ? nullptr : &found->second;
}

void rollouts::note(const rollout_state& state, std::string_view what) {
    const exposure& sums = state.m_own;
    m_shared.m_journal.note(
        event_kind::rollout, state.m_order.m_service,
        std::string{what} + " version=" + state.m_order.m_target_version +
            " stage=" + std::string{name_of(state.m_order.m_stage)} +
            " verdict=" + std::string{name_of(state.m_verdict)} +
            " elapsed_ms=" +
            std::to_string(to_ms(io::event_loop::now() - state.m_began)) +
            " own_requests=" + std::to_string(sums.m_requests) +
            " own_target=" + std::to_string(sums.m_target_requests));
}

void rollouts::begin(rollout_state& state, const rollout_order& order) {
    state = {};
    state.m_order = order;
    state.m_key = order_key(order);
    state.m_own.m_order = state.m_key;
    state.m_began = io::event_loop::now() - recorded_age(order);
    note(state, "begins");
}

void rollouts::adopt() {
    const std::vector<rollout_order>& orders =
        m_shared.m_config.current().m_rollouts;
    std::erase_if(m_states, [&](const auto& item) {
        return std::none_of(orders.begin(), orders.end(),
                            [&](const rollout_order& order) {
                                return order.m_service == item.first;
                            });
    });
    const time_point now = io::event_loop::now();
    for (const rollout_order& order : orders) {
        rollout_state& state = m_states[order.m_service];
        if (state.m_key != order_key(order))
            begin(state, order);
        const bool changed = state.m_order.m_stage != order.m_stage;
        state.m_order = order;
        if (changed)
            note(state, "stage changed");
        follow_upstreams(state, now);
        judge(state, now);
    }
}

void rollouts::follow_upstreams(rollout_state& state, time_point now) {
    std::size_t earlier = 0;
    std::vector<upstream_id> target;
    state.m_has_earlier = false;
    state.m_own.m_earlier_in_progress = 0;
    for (const upstream_id key :
         m_shared.m_upstreams.of_service(state.m_order.m_service)) {
        const upstream& item = *m_shared.m_upstreams.find(key);
        const bool usable = is_usable(item, now);
        if (item.m_version == state.m_order.m_target_version) {
            if (usable)
                target.push_back(key);
            continue;
        }
        state.m_own.m_earlier_in_progress += item.m_load.in_flight();
        state.m_has_earlier |= item.listed(now) && !item.m_leaving;
        earlier += usable ? 1 : 0;
    }
    state.m_canaries = choose_canaries(state.m_key, target,
                                       canary_count(earlier, target.size()));
}

bool rollouts::judge() {
    const time_point now = io::event_loop::now();
    bool found_bad = false;
    for (auto& [service, state] : m_states) {
        if (is_final(state.m_order.m_stage))
            continue;
        follow_upstreams(state, now);
        found_bad = judge(state, now) || found_bad;
    }
    return found_bad;
}

bool rollouts::judge(rollout_state& state, time_point now) {
    if (is_final(state.m_order.m_stage)) {
        state.m_plan = plan_traffic(state.m_order.m_stage, state.m_verdict, {},
                                    state.times(now));
        return false;
    }
    const member_name& self = m_shared.m_fleet.self_record().m_name;
    state.m_own.m_elapsed = now - state.m_began;
    ++state.m_own.m_sequence;
    state.m_ledger.report({self.m_id, self.m_incarnation}, state.m_own);
    const exposure& sums = state.m_ledger.total();
    // Another entry may have seen the order earlier.
    state.m_began = std::min(state.m_began, now - sums.m_elapsed);
    const rollout_verdict before = state.m_verdict;
    state.m_verdict = state.m_judge.judge(sums, state.times(now), now);
    state.m_own.m_bad = state.m_verdict == rollout_verdict::bad;
    state.m_plan = plan_traffic(state.m_order.m_stage, state.m_verdict, sums,
                                state.times(now));
    state.m_own.m_earlier_closed = state.earlier_closed();
    if (before == state.m_verdict)
        return false;
    note(state, "judged on requests=" + std::to_string(sums.m_requests) +
                    " target=" + std::to_string(sums.m_target_requests) +
                    " responses=" + std::to_string(sums.target_responses()) +
                    " bad=" + std::to_string(sums.target_bad()));
    return state.m_own.m_bad;
}

version_choice rollouts::draw(std::string_view service, random_source& random) {
    rollout_state* state = find(service);
    if (!state)
        return version_choice::any;
    ++state->m_own.m_requests;
    if (!state->m_plan.m_target_allowed)
        return version_choice::earlier;
    if (!state->m_plan.m_earlier_allowed ||
        state->m_order.m_stage == rollout_stage::promoted)
        return version_choice::target;
    constexpr int random_bits = 32;
    const bool drawn =
        std::ldexp(random(), -random_bits) < state->m_plan.m_target_share;
    return drawn && !state->m_canaries.empty() ? version_choice::target
                                               : version_choice::earlier;
}

// A request that waits follows a change of the stage or the verdict.
version_choice rollouts::effective(const rollout_state& state,
                                   version_choice drawn) {
    if (!state.m_plan.m_target_allowed)
        return version_choice::earlier;
    if (!state.m_plan.m_earlier_allowed)
        return state.earlier_closed() ? version_choice::target
                                      : version_choice::earlier;
    // All upstreams already have the ordered version.
    if (!state.m_has_earlier)
        return version_choice::any;
    if (drawn != version_choice::any)
        return drawn;
    return state.m_order.m_stage == rollout_stage::promoted
               ? version_choice::target
               : version_choice::earlier;
}

bool rollouts::admits(const request& of, const upstream& item) const {
    const rollout_state* state = find(item.m_service);
    if (!state)
        return true;
    const bool target = item.m_version == state->m_order.m_target_version;
    switch (effective(*state, of.m_version_choice)) {
    case version_choice::any:
        return true;
    case version_choice::earlier:
        return !target;
    case version_choice::target:
        break;
    }
    const bool canary = state->m_order.m_stage == rollout_stage::ordered ||
                        state->m_order.m_stage == rollout_stage::canary;
    const auto& chosen = state->m_canaries;
    return target && (!canary || std::find(chosen.begin(), chosen.end(),
                                           item.m_id) != chosen.end());
}

bool rollouts::fall_back(request& of) const {
    const rollout_state* state = find(of.m_service.m_name);
    if (!state || !state->m_plan.m_earlier_allowed ||
        effective(*state, of.m_version_choice) != version_choice::target)
        return false;
    of.m_version_choice = version_choice::earlier;
    return true;
}

} // namespace skylark::entry
