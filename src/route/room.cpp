// Room: whether an upstream should take one more request.
#include <skylark/route/room.hpp>

#include <algorithm>

namespace skylark {

namespace internal {

// An upstream with this many queued requests for each slot counts as full. Some
// upstreams never answer a request that does not fit into their queue; the
// shortest queue known holds twice as many.
constexpr std::uint32_t max_queue_per_slot = 1;
// Some upstreams slow down when nearly all their slots are in use. They do not
// up to this fraction of the slots.
constexpr double saturation_threshold = 0.7;
// A slowdown up to this value is no reason to leave a slot free.
constexpr double negligible_slowdown = 0.2;

// Factor by which work takes longer on an upstream with a number of slots in
// use.
static double saturation_factor(double used, double slots, double slowdown) {
    const double busy = std::min(1.0, used / slots);
    const double excess = std::max(0.0, busy - saturation_threshold) /
                          (1.0 - saturation_threshold);
    return 1.0 + excess * slowdown;
}

static bool queue_has_room(const load_report& report) {
    return report.m_queue < max_queue_per_slot * std::max(1U, report.m_slots);
}

static bool has_late_room(const load_report& report, const room_terms& terms) {
    if (!adds_throughput(report, terms.m_saturation_slowdown))
        return false;
    if (!terms.m_scarce)
        return true;
    const bool too_slow_for_all =
        expected_time(report, terms.m_saturation_slowdown) > terms.m_full_time;
    return is_late(terms) && too_slow_for_all && report.m_used == 0;
}

} // namespace internal

room_terms make_room_terms(duration time_left, duration full_time,
                           const service_time_estimator& known, bool scarce) {
    room_terms out;
    out.m_scarce = scarce;
    const std::chrono::duration<double> service_time = known.service_time();
    if (service_time.count() <= 0.0) {
        if (time_left <= duration{0})
            out.m_time_left = 0.0;
        return out;
    }
    using fractional = std::chrono::duration<double>;
    out.m_time_left = fractional{time_left} / service_time;
    out.m_full_time = fractional{full_time} / service_time;
    out.m_saturation_slowdown = known.saturation_slowdown();
    return out;
}

double expected_time(const load_report& report, double saturation_slowdown) {
    const double slots = std::max(1U, report.m_slots);
    const double slowness =
        report.m_slowness / static_cast<double>(nominal_slowness);
    const double used = report.m_used + 1.0;
    const double ahead =
        static_cast<double>(report.m_used) + report.m_queue + 1.0 - slots;
    const double wait = std::max(0.0, ahead) / slots;
    return slowness * (wait + internal::saturation_factor(used, slots,
                                                          saturation_slowdown));
}

bool near_saturation(const load_report& report) {
    return report.m_used + 1.0 >
           internal::saturation_threshold * report.m_slots;
}

bool adds_throughput(const load_report& report, double saturation_slowdown) {
    if (report.m_queue > 0 || report.m_used >= report.m_slots)
        return false;
    const double slots = report.m_slots;
    const auto throughput = [&](double used) {
        return used /
               internal::saturation_factor(used, slots, saturation_slowdown);
    };
    return throughput(report.m_used + 1.0) > throughput(report.m_used);
}

bool is_late(const room_terms& terms) {
    return terms.m_time_left < 1.0;
}

bool has_room(const load_report& report, const room_terms& terms) {
    const double time = expected_time(report, terms.m_saturation_slowdown);
    if (time > terms.m_time_left)
        return internal::has_late_room(report, terms);
    if (adds_throughput(report, terms.m_saturation_slowdown))
        return true;
    const bool slows =
        terms.m_saturation_slowdown > internal::negligible_slowdown;
    if (terms.m_scarce && slows)
        return false;
    return internal::queue_has_room(report);
}

bool has_timely_room(const load_report& report, const room_terms& terms) {
    return adds_throughput(report, terms.m_saturation_slowdown) &&
           expected_time(report, terms.m_saturation_slowdown) <=
               terms.m_full_time;
}

} // namespace skylark
