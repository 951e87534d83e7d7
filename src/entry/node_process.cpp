// What an entry tells of its own process: memory and long iterations.
#include "entry/node.hpp"
#include "entry/process_memory.hpp"

namespace skylark::entry {

namespace {

constexpr std::uint64_t bytes_in_mb = std::uint64_t{1} << 20U;

std::int64_t to_signed(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

} // namespace

void node::observe_process() {
    const answer_sums& answers = m_forwarder.answers();
    metrics& out = m_shared.m_metrics;
    out.set(gauge::unread_answer_bytes,
            to_signed(answers.m_unread_bytes + answers.m_unacknowledged_bytes));
    out.set(gauge::unbounded_answers, to_signed(answers.m_unbounded));
    observe_memory();
    observe_work();
}

void node::observe_memory() {
    metrics& out = m_shared.m_metrics;
    out.set(gauge::machine_memory_bytes,
            to_signed(m_shared.m_settings.m_machine_memory));
    const std::uint64_t kernel =
        m_callers.kernel_bytes() + m_forwarder.client().kernel_bytes();
    out.set(gauge::socket_buffer_bytes, to_signed(kernel));
    const auto use = read_memory_use();
    if (!use)
        return;
    out.set(gauge::resident_bytes, to_signed(use->m_resident));
    out.set(gauge::resident_peak_bytes, to_signed(use->m_peak));
    const auto passed = m_memory_level.step(use->m_resident + kernel);
    if (!passed)
        return;
    const answer_sums& answers = m_forwarder.answers();
    log_line line{"memory"};
    line.add("passed_percent", *passed)
        .add("resident_mb", use->m_resident / bytes_in_mb)
        .add("kernel_mb", kernel / bytes_in_mb)
        .add("peak_mb", use->m_peak / bytes_in_mb)
        .add("machine_mb", m_shared.m_settings.m_machine_memory / bytes_in_mb)
        .add("requests", m_forwarder.active())
        .add("unread_bytes", answers.m_unread_bytes)
        .add("unacknowledged_bytes", answers.m_unacknowledged_bytes)
        .add("unbounded_answers", answers.m_unbounded);
    m_shared.m_journal.decided(line, io::event_loop::now(), line_kind::change);
}

void node::observe_work() {
    const time_point now = io::event_loop::now();
    const io::loop_work work = m_shared.m_loop.take_work();
    m_slow_iterations.add(now, work.m_longest);
    metrics& out = m_shared.m_metrics;
    out.count_up_to(counter::iterations, m_shared.m_loop.iteration());
    out.set(gauge::longest_iteration_ms, to_ms(m_slow_iterations.longest(now)));
    if (work.m_slow == 0)
        return;
    out.count(counter::slow_iterations, work.m_slow);
    log_line line{"slow-iteration"};
    line.add("count", work.m_slow)
        .add_ms("longest_ms", work.m_longest)
        .add("requests", m_forwarder.active())
        .add("unbounded_answers", m_forwarder.answers().m_unbounded);
    m_shared.m_journal.decided(line, now, line_kind::change);
}

} // namespace skylark::entry
