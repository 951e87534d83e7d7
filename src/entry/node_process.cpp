// What an entry tells of its own process: memory and long iterations.
#include "entry/node.hpp"
#include "entry/process_memory.hpp"

namespace skylark::entry {

namespace {

std::int64_t to_signed(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

} // namespace

void node::observe_process() {
    const answer_sums& answers = m_forwarder.answers();
    metrics& out = m_shared.m_metrics;
    out.set(gauge::unread_answer_bytes, to_signed(answers.m_unread_bytes));
    out.set(gauge::unbounded_answers, to_signed(answers.m_unbounded));
    observe_memory();
    observe_work();
}

void node::observe_memory() {
    metrics& out = m_shared.m_metrics;
    out.set(gauge::machine_memory_bytes, to_signed(m_machine_memory));
    const auto use = read_memory_use();
    if (!use)
        return;
    out.set(gauge::resident_bytes, to_signed(use->m_resident));
    out.set(gauge::resident_peak_bytes, to_signed(use->m_peak));
}

void node::observe_work() {
    const time_point now = io::event_loop::now();
    const io::loop_work work = m_shared.m_loop.take_work();
    m_slow_iterations.add(now, work.m_longest);
    metrics& out = m_shared.m_metrics;
    out.set(gauge::longest_iteration_ms, to_ms(m_slow_iterations.longest(now)));
    out.count(counter::slow_iterations, work.m_slow);
}

} // namespace skylark::entry
