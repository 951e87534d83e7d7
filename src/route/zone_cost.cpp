// Cost of a request that stays in its zone and of one that leaves it.
#include <skylark/route/zone_cost.hpp>

#include <cmath>

#include <skylark/route/probe_step.hpp>

namespace skylark {

namespace internal {

static double ms_of(duration value) {
    return std::chrono::duration<double, std::milli>{value}.count();
}

// Chance that a number of steps find no room.
static double no_room(double room, int steps) {
    return std::pow(1.0 - room, steps * static_cast<int>(max_probes_per_step));
}

static double cost_abroad(const zone_terms& terms, const zone_path& to,
                          int steps) {
    double waiting = 0.0;
    for (int step = 1; step <= steps; ++step)
        waiting += ms_of(to.m_step) * no_room(to.m_room, step);
    return ms_of(terms.m_price) + ms_of(to.m_round_trip) + waiting +
           ms_of(terms.m_loss) * no_room(to.m_room, steps);
}

} // namespace internal

double cost_of_leaving(const zone_terms& terms, const zone_path& to) {
    return internal::cost_abroad(terms, to, 2);
}

double cost_of_staying(const zone_terms& terms, double own_room,
                       const zone_path* other) {
    const double first = internal::no_room(own_room, 1);
    const double both = internal::no_room(own_room, 2);
    const double then = other ? internal::cost_abroad(terms, *other, 1)
                              : internal::ms_of(terms.m_loss);
    return internal::ms_of(terms.m_own_step) * (first + both) + both * then;
}

} // namespace skylark
