// Upstreams of one service in virtual time.
#include "standin/service_model.hpp"

using namespace skylark;

namespace standin {

service_model::service_model(const overload_scenario& from,
                             virtual_clock& clock, random_source& random)
    : m_from{from}, m_clock{clock}, m_random{random},
      m_upstreams(from.m_upstreams) {}

bool service_model::draw(double share) {
    constexpr std::uint32_t in_thousand = 1000;
    return m_random(in_thousand) < share * in_thousand;
}

void service_model::change_speeds() {
    for (upstream& item : m_upstreams)
        item.m_slowness = draw(m_from.m_slow_share)
                              ? static_cast<std::uint32_t>(
                                    m_from.m_slow_factor * nominal_slowness)
                              : nominal_slowness;
    if (m_clock.elapsed() < m_from.m_length + m_from.m_deadline)
        m_clock.after(m_from.m_slow_period, [this] { change_speeds(); });
}

load_report service_model::report(std::uint32_t index) const {
    const upstream& from = m_upstreams[index];
    load_report out;
    out.m_state = upstream_state::warm;
    out.m_used = from.m_used;
    out.m_slots = m_from.m_slots;
    out.m_queue = static_cast<std::uint32_t>(from.m_waiting.size());
    out.m_slowness = from.m_slowness;
    return out;
}

void service_model::receive(std::uint32_t index, callback done) {
    upstream& at = m_upstreams[index];
    if (draw(m_from.m_refuse_share))
        done(work_result::refused, duration{0});
    else if (at.m_used < m_from.m_slots)
        work(index, std::move(done));
    else if (at.m_waiting.size() < m_from.m_queue)
        at.m_waiting.push_back(std::move(done));
    else
        done(work_result::hung, duration{0});
}

void service_model::work(std::uint32_t index, callback done) {
    upstream& at = m_upstreams[index];
    ++at.m_used;
    const bool full = at.m_used >= m_from.m_slots;
    const double factor = at.m_slowness /
                          static_cast<double>(nominal_slowness) *
                          (full ? 1.0 + m_from.m_saturation_slowdown : 1.0);
    const auto time = std::chrono::duration_cast<duration>(
        factor * std::chrono::duration<double>{m_from.m_work});
    m_clock.after(time, [this, index, time, done = std::move(done)] {
        upstream& from = m_upstreams[index];
        --from.m_used;
        if (!from.m_waiting.empty()) {
            callback next = std::move(from.m_waiting.front());
            from.m_waiting.pop_front();
            work(index, std::move(next));
        }
        done(work_result::done, time);
    });
}

} // namespace standin
