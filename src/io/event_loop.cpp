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

event_loop::event_loop()
    : m_native{h2o_evloop_create()}, m_wake_up{timerfd_create(CLOCK_MONOTONIC,
                                                              TFD_NONBLOCK |
                                                                  TFD_CLOEXEC)},
      m_last_turn{now()} {
    // Writing to a closed connection must fail with EPIPE instead of killing
    // the process.
    std::signal(SIGPIPE, SIG_IGN);
    auto* socket = h2o_evloop_socket_create(m_native, m_wake_up,
                                            H2O_SOCKET_FLAG_DONT_READ);
    h2o_socket_read_start(socket, [](h2o_socket_t* ready, const char*) {
        std::uint64_t expirations = 0;
        const auto size =
            read(h2o_socket_get_fd(ready), &expirations, sizeof expirations);
        static_cast<void>(size); // run_due_timers() checks the timers next
    });
}

event_loop::~event_loop() = default; // h2o 2.2 cannot destroy an evloop

time_point event_loop::now() {
    const auto reading = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(reading)};
}

timer_id event_loop::after(duration delay, task what) {
    const timer_id key{++m_last_timer};
    const time_point due = now() + delay;
    m_timers.emplace(due_order{due, key}, std::move(what));
    m_due.emplace(key, due);
    return key;
}

void event_loop::every(duration period, task what) {
    after(period, [this, period, what = std::move(what)] {
        what();
        every(period, what);
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
    arm_wake_up();
    const bool overdue =
        !m_timers.empty() && m_timers.begin()->first.m_due <= now();
    const auto wait_ms = overdue ? 0 : to_ms(longest_wait);
    h2o_evloop_run(m_native, static_cast<std::int32_t>(wait_ms));
    notice_pause();
    run_due_timers();
    m_turn_pause = duration{0};
}

// h2o waits in whole milliseconds, so a timer descriptor wakes it at the exact
// time.
void event_loop::arm_wake_up() {
    if (m_timers.empty())
        return;
    const time_point due = m_timers.begin()->first.m_due;
    if (due == m_armed)
        return;
    m_armed = due;
    constexpr std::int64_t us_in_s = 1'000'000;
    constexpr std::int64_t ns_in_us = 1000;
    const std::int64_t us =
        std::max<std::int64_t>(1, due.time_since_epoch().count());
    itimerspec when{};
    when.it_value.tv_sec = us / us_in_s;
    when.it_value.tv_nsec = us % us_in_s * ns_in_us;
    timerfd_settime(m_wake_up, TFD_TIMER_ABSTIME, &when, nullptr);
}

void event_loop::run_due_timers() {
    const time_point present = now();
    while (!m_timers.empty() && m_timers.begin()->first.m_due <= present) {
        auto node = m_timers.extract(m_timers.begin());
        m_due.erase(node.key().m_key);
        node.mapped()();
    }
}

duration event_loop::notice_pause() {
    const time_point present = now();
    const duration gap = present - m_last_turn;
    m_last_turn = present;
    if (m_pause_handler && gap > m_pause_limit) {
        m_turn_pause = gap;
        m_pause_handler(gap);
    }
    return m_turn_pause;
}

} // namespace skylark::io
