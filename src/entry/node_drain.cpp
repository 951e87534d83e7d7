// Graceful shutdown of an entry.
#include "entry/node.hpp"

namespace skylark::entry {

namespace {
constexpr auto drain_check = milliseconds{20};
constexpr auto close_check = milliseconds{5};
// One turn reads a limited number of connections.
constexpr auto last_turns_limit = milliseconds{100};
} // namespace

void node::drain(time_point signalled) {
    if (m_shared.m_drain)
        return;
    // Answers that name this entry may have been given until peers learnt of
    // the leave, and callers keep them for their whole life time.
    const duration told = 2 * m_shared.m_settings.m_timing.m_period;
    const duration pause = m_shared.m_loop.detect_pause();
    const time_point now = io::event_loop::now();
    const duration held_up = m_hold_ups.longest(now);
    m_shared.m_drain.emplace(now, signal_span::around(signalled, now, pause),
                             m_shared.m_settings.m_entries_ttl + told,
                             m_shared.m_settings.m_drain_limit, held_up);
    note_drain(
        "began, signal_ms_ago=" + std::to_string(to_ms(now - signalled)) +
        " pause_ms=" + std::to_string(to_ms(pause)) +
        " held_up_ms=" + std::to_string(to_ms(held_up)));
    m_callers.close_after_answer();
    // Leaving gives up the shares and dispatches what waits, so requests are
    // withdrawn for their deadlines before and for want of a share after it.
    m_forwarder.withdraw_requests();
    m_shared.m_fleet.leave();
    m_forwarder.withdraw_requests();
    if (m_place)
        m_place->stop();
    finish_drain_when_idle();
}

void node::note_drain(std::string_view step) {
    std::string detail{step};
    detail += ", connections=" + std::to_string(m_callers.connections()) +
              " exchanges=" + std::to_string(m_callers.active());
    const stage_counts counts = m_forwarder.stages();
    for (std::size_t i = 0; i < counts.size(); ++i)
        detail.append(" ")
            .append(request_stage_names[i])
            .append("=")
            .append(std::to_string(counts[i]));
    detail += " last_request_ms_ago=" +
              std::to_string(to_ms(m_callers.time_since_last_request())) +
              " last_admission_ms_ago=" +
              std::to_string(to_ms(m_forwarder.time_since_admission()));
    m_shared.m_journal.note(event_kind::drain, m_shared.m_settings.m_name,
                            detail);
}

void node::finish_drain_when_idle() {
    const time_point now = io::event_loop::now();
    const bool quiet = m_shared.m_drain->quiet(
        now, m_callers.active() == 0, m_forwarder.time_since_admission());
    if (quiet || m_shared.m_drain->must_close(now)) {
        note_drain(quiet ? "closing connections, quiet"
                         : "closing connections, time limit near");
        m_callers.begin_shutdown();
        m_lookup.begin_shutdown();
        m_control.begin_shutdown();
        finish_when_closed();
        return;
    }
    m_shared.m_loop.after(drain_check, [this] { finish_drain_when_idle(); });
}

void node::finish_when_closed() {
    const time_point now = io::event_loop::now();
    if (m_callers.active() > 0)
        m_last_in_progress = now;
    const bool closed =
        m_callers.drained() && m_lookup.drained() && m_control.drained();
    const bool limit = m_shared.m_drain->may_end(now, m_last_in_progress);
    if (!closed && !limit) {
        m_shared.m_loop.after(close_check, [this] { finish_when_closed(); });
        return;
    }
    // What came during a stall has not been read yet.
    const bool first = !m_last_turns;
    m_last_turns = m_last_turns.value_or(now);
    if (!closed && (first || (now - *m_last_turns < last_turns_limit &&
                              m_callers.has_unread_input()))) {
        m_shared.m_loop.after(duration{0}, [this] { finish_when_closed(); });
        return;
    }
    // The kernel may take a while to end the process after the last line.
    m_callers.end_connections();
    m_lookup.end_connections();
    m_control.end_connections();
    note_drain(closed ? "done" : "time limit reached");
    m_forwarder.log_unfinished();
    m_shared.m_loop.stop();
}

} // namespace skylark::entry
