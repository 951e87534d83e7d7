// Roll-outs at this entry: counts of responses, and exposures in heartbeats.
#include <algorithm>

#include <skylark/core/hash.hpp>

#include "entry/context.hpp"
#include "entry/rollouts.hpp"

namespace skylark::entry {

namespace {

// Bytes of exposures in one heartbeat, which has to fit into a datagram of 64
// KB with up to 1,000 reports of 40 bytes. What does not fit follows in the
// next report.
constexpr std::size_t exposure_bytes = std::size_t{16} << 10U;
// Routes that are counted apart; the others are counted together.
constexpr std::size_t most_routes = 32;
constexpr std::uint32_t other_routes = 0;
constexpr std::uint64_t upstream_bits = 64;

// Slowdown of an upstream around a response. It changes several times a second,
// so the larger one of both reports counts. None if the upstream had a queue,
// as then the time tells nothing of its version.
std::optional<double> slowness(const attempt& sent,
                               const std::optional<load_report>& response) {
    const auto& before = sent.m_report;
    if (!before || before->m_queue > 0 || before->m_used >= before->m_slots)
        return std::nullopt;
    const std::uint32_t most = std::max(
        before->m_slowness, response ? response->m_slowness : std::uint32_t{0});
    return std::max(1U, most) / static_cast<double>(nominal_slowness);
}

// Upper bound of the encoded size of usual counts.
std::size_t encoded_size(const exposure& of) {
    constexpr std::size_t fields = 60;
    constexpr std::size_t route = 60;
    return fields + route * of.m_routes.size();
}

// Adds an exposure if its size is left.
void add_within(std::size_t& left, std::vector<exposure>& to,
                const exposure& what) {
    const std::size_t size = encoded_size(what);
    if (size > left)
        return;
    left -= size;
    to.push_back(what);
}

duration normalize(duration took, double by) {
    return duration{
        static_cast<duration::rep>(static_cast<double>(took.count()) / by)};
}

} // namespace

// Attempts that began before the order do not count.
rollout_state* rollouts::counting(std::string_view service,
                                  const attempt& sent) {
    rollout_state* state = find(service);
    return state && sent.m_rollout == state->m_key ? state : nullptr;
}

version_counts& rollouts::counts_of(rollout_state& state, const request& of,
                                    const upstream& target) {
    const std::uint32_t key = route_key(of.m_rule);
    const bool apart = state.m_own.find_route(key) ||
                       state.m_own.m_routes.size() < most_routes;
    route_exposure& route = state.m_own.on_route(apart ? key : other_routes);
    return target.m_version == state.m_order.m_target_version ? route.m_target
                                                              : route.m_earlier;
}

void rollouts::mark_bad(rollout_state& state, const upstream& target) {
    if (target.m_version == state.m_order.m_target_version)
        state.m_own.m_bad_upstreams |=
            std::uint64_t{1} << (hash(target.m_instance) % upstream_bits);
}

void rollouts::attempt_began(request& of, const upstream& target) {
    rollout_state* state = find(target.m_service);
    if (!state)
        return;
    of.m_attempts.rbegin()->second.m_rollout = state->m_key;
    if (target.m_version != state->m_order.m_target_version)
        return;
    ++state->m_own.m_target_requests;
    if (state->m_order.m_stage != rollout_stage::promoted)
        of.m_version_choice = version_choice::earlier;
}

void rollouts::answered(const request& of, const attempt& sent,
                        const upstream& target,
                        const std::optional<load_report>& response_report,
                        bool failure) {
    rollout_state* state = counting(target.m_service, sent);
    if (!state)
        return;
    version_counts& counts = counts_of(*state, of, target);
    ++counts.m_responses;
    if (failure) {
        ++counts.m_failures;
        mark_bad(*state, target);
        return;
    }
    const auto by = slowness(sent, response_report);
    if (!by)
        return;
    const duration took =
        normalize(io::event_loop::now() - sent.m_sent_at, *by);
    ++counts.m_timed;
    counts.m_time_us += static_cast<std::uint64_t>(took.count());
    const duration reference =
        earlier_time(state->m_ledger.total(), route_key(of.m_rule));
    if (!is_slow(took, reference))
        return;
    ++counts.m_slow;
    mark_bad(*state, target);
}

void rollouts::broken(const request& of, const attempt& sent,
                      const upstream& target, const verdict& how) {
    rollout_state* state = counting(target.m_service, sent);
    const auto* lost = std::get_if<may_have_run>(&how);
    if (!state || !lost || !sent.m_sent || sent.m_failed)
        return;
    version_counts& counts = counts_of(*state, of, target);
    // The head of a response that broke off has counted already.
    counts.m_responses += sent.m_answered ? 0 : 1;
    ++counts.m_failures;
    mark_bad(*state, target);
}

// An upstream that is full may never respond, whatever its version, so only one
// that had room counts.
void rollouts::cancelled(const request& of, const attempt& sent,
                         const upstream& target) {
    rollout_state* state = counting(target.m_service, sent);
    if (!state || !sent.m_sent || sent.m_answered)
        return;
    const auto by = slowness(sent, std::nullopt);
    const duration reference =
        earlier_time(state->m_ledger.total(), route_key(of.m_rule));
    if (!by || !is_slow(normalize(io::event_loop::now() - sent.m_sent_at, *by),
                        reference))
        return;
    version_counts& counts = counts_of(*state, of, target);
    ++counts.m_responses;
    ++counts.m_slow;
    mark_bad(*state, target);
}

void rollouts::add_to(outgoing_heartbeat& out) {
    std::size_t left = exposure_bytes;
    for (auto& [service, state] : m_states) {
        if (is_final(state.m_order.m_stage))
            continue;
        add_within(left, out.m_message.m_exposures, state.m_own);
        if (out.m_scope == subscription::fleet)
            add_within(left, out.m_message.m_exposure_sums,
                       state.m_ledger.total());
    }
    if (out.m_scope == subscription::zone && !out.m_message.m_exposures.empty())
        add_reports(out.m_message.m_reports, left);
}

// Begins with the member after the last one of the report before.
void rollouts::add_reports(std::vector<member_report>& to, std::size_t left) {
    const auto next =
        std::find_if(to.begin(), to.end(), [this](const member_report& item) {
            return item.m_name.m_id.value() > m_report_cursor;
        });
    const auto begin = static_cast<std::size_t>(next - to.begin());
    for (std::size_t i = 0; i < to.size(); ++i) {
        member_report& item = to[(begin + i) % to.size()];
        const reporter name{item.m_name.m_id, item.m_name.m_incarnation};
        for (const auto& [service, state] : m_states) {
            const exposure* known = state.m_ledger.find(name);
            if (!known || is_final(state.m_order.m_stage))
                continue;
            if (encoded_size(*known) > left)
                return;
            add_within(left, item.m_exposures, *known);
        }
        m_report_cursor = item.m_name.m_id.value();
    }
}

rollout_state* rollouts::find_order(std::uint64_t key) {
    const auto found =
        std::find_if(m_states.begin(), m_states.end(), [key](const auto& item) {
            return item.second.m_key == key;
        });
    return found == m_states.end() ? nullptr : &found->second;
}

void rollouts::take(const reporter& from, const std::vector<exposure>& list) {
    for (const exposure& item : list)
        if (rollout_state* state = find_order(item.m_order))
            state->m_ledger.report(from, item);
}

void rollouts::heard(const heartbeat& message) {
    const member_name& self = m_shared.m_fleet.self_record().m_name;
    const auto take_of = [&](const member_name& of, const auto& list) {
        if (of.m_id != self.m_id || of.m_incarnation != self.m_incarnation)
            take({of.m_id, of.m_incarnation}, list);
    };
    take_of(message.m_sender.m_name, message.m_exposures);
    for (const member_report& item : message.m_reports)
        take_of(item.m_name, item.m_exposures);
    for (const exposure& item : message.m_exposure_sums)
        if (rollout_state* state = find_order(item.m_order))
            state->m_ledger.sum_report(item);
}

bool rollouts::earlier_drained(const rollout_state& of) const {
    const auto drained = [](const exposure* known) {
        return known && known->m_earlier_closed &&
               known->m_earlier_in_progress == 0;
    };
    const auto& peers = m_shared.m_fleet.peers();
    return drained(&of.m_own) &&
           std::all_of(peers.begin(), peers.end(), [&](const auto& item) {
               const member_name& name = item.second.m_record.m_name;
               return drained(
                   of.m_ledger.find({name.m_id, name.m_incarnation}));
           });
}

} // namespace skylark::entry
