// Load state that an entry keeps for one upstream.
#include <skylark/load/upstream_load.hpp>

#include <algorithm>

namespace skylark {

namespace {
// A warm report older than this no longer exempts the upstream from the limits
// of a cold one.
constexpr duration warm_validity = milliseconds{3000};
// The queue length in a report older than this does not describe the current
// queue.
constexpr duration overload_validity = milliseconds{10};
constexpr std::uint32_t failure_penalty = 4; // requests per failure
constexpr int smoothing = 8;                 // a new sample has weight 1/8
} // namespace

bool upstream_load::update_report(const load_report& report, time_point taken) {
    if (m_known && taken < m_taken)
        return false;
    const bool changed = !m_known ||
                         report.m_incarnation != m_report.m_incarnation ||
                         report.m_state != m_report.m_state;
    m_known = true;
    m_report = report;
    m_sent_since_report = 0;
    m_taken = taken;
    return changed;
}

void upstream_load::record_response(duration latency, bool success) {
    if (!success) {
        record_failure();
        return;
    }
    m_failures = 0;
    m_latency = m_latency == duration{0}
                    ? latency
                    : m_latency + (latency - m_latency) / smoothing;
}

void upstream_load::cross_check(const load_report& report) {
    // Requests that are sent but not yet counted by the upstream.
    constexpr std::uint32_t in_transit = 2;
    const bool understates =
        report.m_used + report.m_queue + in_transit < m_in_flight;
    if (understates)
        m_disagreement = std::min(m_disagreement + 2, 2 * distrust_limit);
    else if (m_disagreement > 0)
        --m_disagreement;
}

upstream_state upstream_load::state(time_point now) const {
    if (!m_known)
        return upstream_state::cold;
    if (m_report.m_state == upstream_state::warm &&
        now - m_taken > warm_validity)
        return upstream_state::cold;
    return m_report.m_state;
}

std::uint32_t upstream_load::penalty(time_point now) const {
    std::uint32_t sum = m_failures * failure_penalty;
    const bool recent = m_known && now - m_taken <= overload_validity;
    if (recent && !distrusted() && m_report.m_queue > 0)
        sum += m_report.m_queue;
    return sum;
}

} // namespace skylark
