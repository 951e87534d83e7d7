// What an entry of the overload model knows.
#include "standin/entry_model.hpp"

#include <algorithm>

using namespace skylark;

namespace standin {

namespace {

// As in the entry's router.
constexpr duration report_validity = milliseconds{12};
constexpr duration saturation_validity = milliseconds{100};
constexpr std::uint32_t zones = 3;

bool contains(const std::vector<std::uint32_t>& list, std::uint32_t item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

probe_candidate candidate_of(const known_upstream& known, bool scarce,
                             time_point now) {
    probe_candidate out;
    out.m_has_connection = true;
    out.m_has_idle_connection = true;
    out.m_in_flight = known.m_in_flight;
    out.m_reserve = scarce && known.m_in_flight == 0 && !known.m_suspect &&
                    known.m_health.may_try(now);
    out.m_suspect =
        known.m_suspect || (!known.m_health.usable(now) && !out.m_reserve);
    if (!known.m_report)
        return out;
    const load_report report =
        with_more(*known.m_report, known.m_sent_since_report);
    const duration age = now - known.m_taken;
    if (age <= saturation_validity)
        out.m_last_report = report;
    if (age <= report_validity && !out.m_suspect)
        out.m_report = report;
    return out;
}

} // namespace

std::vector<probe_candidate> candidates(const entry& at, const request& of,
                                        bool scarce, time_point now) {
    std::vector<probe_candidate> out;
    for (std::uint32_t i = 0; i < at.m_known.size(); ++i) {
        probe_candidate& item =
            out.emplace_back(candidate_of(at.m_known[i], scarce, now));
        item.m_upstream = upstream_id{i + 1};
        item.m_same_zone = i % zones == of.m_entry % zones;
        item.m_probed = contains(of.m_probed, i);
        item.m_probe_overdue = contains(of.m_overdue, i);
    }
    return out;
}

} // namespace standin
