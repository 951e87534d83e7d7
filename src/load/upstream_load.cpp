// What one entry knows of the load on one upstream.
#include <skylark/load/upstream_load.hpp>

#include <algorithm>

namespace skylark {

namespace {
// A warm report older than this no longer lets full load through.
constexpr duration warm_validity = milliseconds{3000};
// An overload report older than this says nothing about the present queue.
constexpr duration overload_validity = milliseconds{10};
constexpr std::uint32_t failure_penalty = 4; // requests for each failure
constexpr int smoothing = 8;                 // weight 1/8 for a new sample
} // namespace

bool upstream_load::reported(const load_report& report, time_point taken) {
    if (m_known && taken < m_taken)
        return false;
    const bool changed = !m_known ||
                         report.m_incarnation != m_report.m_incarnation ||
                         report.m_state != m_report.m_state;
    m_known = true;
    m_report = report;
    m_taken = taken;
    return changed;
}

void upstream_load::measured(duration took, bool success) {
    if (!success) {
        failed();
        return;
    }
    m_failures = 0;
    m_latency = m_latency == duration{0}
                    ? took
                    : m_latency + (took - m_latency) / smoothing;
}

void upstream_load::compare(const load_report& report) {
    constexpr std::uint32_t on_the_way = 2; // sent, but not yet counted
    const bool understates =
        report.m_used + report.m_queue + on_the_way < m_in_flight;
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
