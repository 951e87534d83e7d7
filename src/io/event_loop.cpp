// Event loop on h2o's evloop.
#include "io/event_loop.hpp"

#include <algorithm>
#include <csignal>
#include <sys/timerfd.h>
#include <unistd.h>
#include <utility>

#include "io/native.hpp"

namespace skylark::io {

namespace {
constexpr duration max_poll_wait = milliseconds{100};
} // namespace

// h2o runs the callbacks of a timeout of 0 ms behind those of sockets, and
// behind each of them those that it caused.
struct event_loop::timer_phase {
    h2o_timeout_t m_timeout;
    h2o_timeout_entry_t m_entry;
    event_loop* m_owner;

    explicit timer_phase(event_loop* owner)
        : m_timeout{}, m_entry{}, m_owner{owner} {
        h2o_timeout_init(owner->m_native, &m_timeout, 0);
        m_entry.cb = [](h2o_timeout_entry_t* entry) {
            H2O_STRUCT_FROM_MEMBER(timer_phase, m_entry, entry)
                ->m_owner->run_timer_phase();
        };
    }

    // Includes the phase in the iteration that runs now or comes next. h2o
    // compares times of the wall clock, so an entry that was linked before
    // that was set back would not run until it has caught up.
    void schedule() {
        h2o_timeout_unlink(&m_entry);
        h2o_timeout_link(m_owner->m_native, &m_timeout, &m_entry);
    }
};

event_loop::event_loop()
    : m_native{h2o_evloop_create()}, m_phase{std::make_unique<timer_phase>(
                                         this)},
      m_timer_fd{timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)},
      m_last_pause_check{now()} {
    // Writing to a closed connection must fail with EPIPE instead of killing
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto* socket = h2o_evloop_socket_create(m_native, m_timer_fd,
                                            H2O_SOCKET_FLAG_DONT_READ);
    socket->data = m_phase.get();
    h2o_socket_read_start(socket, [](h2o_socket_t* ready, const char*) {
        std::uint64_t expirations = 0;
        const auto size =
            read(h2o_socket_get_fd(ready), &expirations, sizeof expirations);
        static_cast<void>(size); // run_due_timers() checks the timers
        static_cast<timer_phase*>(ready->data)->schedule();
    });
}

// h2o 2.2 cannot destroy an evloop, so nothing that it points to is released
// either.
event_loop::~event_loop() {
    static_cast<void>(m_phase.release());
}

time_point event_loop::now() {
    const auto reading = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(reading)};
}

timer_id event_loop::after(duration delay, task action) {
    const timer_id key{++m_last_timer};
    const time_point due = now() + delay;
    m_timers.emplace(due_order{due, key}, std::move(action));
    m_due.emplace(key, due);
    return key;
}

void event_loop::every(duration period, task action) {
    after(period, [this, period, action = std::move(action)] {
        action();
        every(period, action);
    });
}

void event_loop::cancel(timer_id key) {
    const auto found = m_due.find(key);
    if (found == m_due.end())
        return;
    m_timers.erase(due_order{found->second, key});
    m_due.erase(found);
}

void event_loop::on_pause(duration limit, pause_handler handler) {
    m_pause_limit = limit;
    m_pause_handler = std::move(handler);
}

void event_loop::run() {
    while (!m_stopped)
        run_once(max_poll_wait);
}

void event_loop::run_once(duration longest_wait) {
    ++m_iteration;
    arm_timer_fd();
    const time_point began = now();
    // h2o does not wait if the phase is scheduled.
    const duration next_timer = until_next_timer(began);
    if (next_timer == duration{0})
        m_phase->schedule();
    h2o_evloop_run(m_native, static_cast<std::int32_t>(to_ms(longest_wait)));
    const time_point present = now();
    add_work(present - began - std::min(longest_wait, next_timer));
    if (!std::exchange(m_phase_ran, false)) {
        if (m_pause_handler && present - m_last_pause_check > m_pause_limit) {
            m_phase->schedule();
            h2o_evloop_run(m_native, 0);
        }
        // The phase has set it otherwise.
        if (!std::exchange(m_phase_ran, false))
            m_last_pause_check = present;
    }
    m_iteration_pause = duration{0};
}

// Zero if a timer is due, and the longest time if there is none.
duration event_loop::until_next_timer(time_point present) const {
    if (m_timers.empty())
        return duration::max();
    return std::max(duration{0}, m_timers.begin()->first.m_due - present);
}

void event_loop::add_work(duration work) {
    m_work.m_longest = std::max(m_work.m_longest, work);
    m_work.m_slow += work > slow_iteration ? 1U : 0U;
}

void event_loop::run_timer_phase() {
    m_phase_ran = true;
    detect_pause();
    run_due_timers();
}

// h2o waits in whole milliseconds, so a timer descriptor wakes it at the exact
// time.
void event_loop::arm_timer_fd() {
    if (m_timers.empty())
        return;
    const time_point due = m_timers.begin()->first.m_due;
    if (due == m_timer_fd_due)
        return;
    m_timer_fd_due = due;
    constexpr std::int64_t us_in_s = 1'000'000;
    constexpr std::int64_t ns_in_us = 1000;
    const std::int64_t us =
        std::max<std::int64_t>(1, due.time_since_epoch().count());
    itimerspec when{};
    when.it_value.tv_sec = us / us_in_s;
    when.it_value.tv_nsec = us % us_in_s * ns_in_us;
    timerfd_settime(m_timer_fd, TFD_TIMER_ABSTIME, &when, nullptr);
}

void event_loop::run_due_timers() {
    const time_point present = now();
    while (!m_timers.empty() && m_timers.begin()->first.m_due <= present) {
        auto node = m_timers.extract(m_timers.begin());
        m_due.erase(node.key().m_key);
        node.mapped()();
    }
}

duration event_loop::detect_pause() {
    const time_point present = now();
    const duration gap = present - m_last_pause_check;
    m_last_pause_check = present;
    if (m_pause_handler && gap > m_pause_limit) {
        m_iteration_pause = gap;
        m_pause_handler(gap);
    }
    return m_iteration_pause;
}

} // namespace skylark::io
