// Single-threaded event loop with sockets, timers and detection of pauses of
// the process.
#ifndef SKYLARK_IO_EVENT_LOOP_HPP
#define SKYLARK_IO_EVENT_LOOP_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

struct st_h2o_evloop_t;

namespace skylark::io {

/*! @brief Time that iterations of the loop worked, counted from the latest end
 *  of the wait for an event: a wait that ended early makes it too short by what
 *  was left until the next timer. */
struct loop_work {
    duration m_longest{};   //!< of one iteration
    std::uint64_t m_slow{}; //!< iterations beyond event_loop::slow_iteration
};

/*! @brief Wraps h2o's event loop and adds timers with microsecond due times.
 *
 *  An iteration waits for events, runs the callbacks of sockets, then those of
 *  due timers, then what either caused, such as the end of a write. Timers run
 *  within h2o's own iteration: h2o updates what it polls for before it reports
 *  writes, so a write from outside of an iteration may leave its socket polled
 *  without a callback, which ends the process.
 *
 *  Not thread-safe: all calls must come from the thread that runs the loop. */
class event_loop {
public:
    using task = std::function<void()>;
    using pause_handler = std::function<void(duration)>;

    //! Work beyond which others are harmed: half of a heartbeat's period.
    static constexpr duration slow_iteration = milliseconds{100};

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /*! @brief Reads the monotonic clock.
     *  @return current time, not the start of the loop iteration */
    static time_point now();

    /*! @brief Runs a task once after a delay.
     *  @param delay time from now
     *  @param action the task
     *  @return id for cancel() */
    timer_id after(duration delay, task action);

    /*! @brief Runs a task periodically; it cannot be cancelled.
     *  @param period delay before the first run and between the end of a run
     *  and the next one
     *  @param action the task */
    void every(duration period, task action);

    /*! @brief Cancels a timer; does nothing if it has run or was cancelled.
     *  @param key id from after() */
    void cancel(timer_id key);

    /*! @brief Sets the handler that is called when the process has not run
     *  for longer than a limit. It runs inside detect_pause(), before any due
     *  timer, and within an iteration.
     *  @param limit gaps up to this length are not reported; must be at least
     *  the longest wait for an event
     *  @param handler gets the length of the gap */
    void on_pause(duration limit, pause_handler handler);

    /*! @brief Checks for a pause now. Callbacks of sockets for which the age of
     *  input matters call this first: input that was queued in the kernel
     *  during a pause may be as old as the pause is long.
     *  @return length of the pause that ended in this loop iteration, or
     *  zero */
    duration detect_pause();

    /*! @brief Runs loop iterations until stop() is called. */
    void run();

    /*! @brief Runs one loop iteration.
     *  @param longest_wait maximum time to wait for an event, rounded down
     *  to milliseconds */
    void run_once(duration longest_wait);

    /*! @brief Work of the iterations since the last call. */
    loop_work take_work() { return std::exchange(m_work, {}); }

    /*! @brief Makes run() return after the current iteration. */
    void stop() { m_stopped = true; }

    /*! @brief Number of the current iteration. */
    [[nodiscard]] std::uint64_t iteration() const { return m_iteration; }

    /*! @brief The underlying h2o loop; for use in the io module only. */
    st_h2o_evloop_t* native() { return m_native; }

private:
    // Orders timers by due time, then by creation.
    struct due_order {
        time_point m_due;
        timer_id m_key;
        auto operator<=>(const due_order&) const = default;
    };

    // h2o's timeout in which due timers run.
    struct timer_phase;

    [[nodiscard]] duration until_next_timer(time_point present) const;
    void add_work(duration work);
    void run_timer_phase();
    void run_due_timers();
    void arm_timer_fd();

    st_h2o_evloop_t* m_native;
    std::unique_ptr<timer_phase> m_phase;
    int m_timer_fd;              // wakes h2o's loop for the next due timer
    time_point m_timer_fd_due{}; // expiry that m_timer_fd was last set to
    // Invariant: m_timers and m_due hold the same timers, with the same due
    // times.
    std::map<due_order, task> m_timers;
    std::map<timer_id, time_point> m_due;
    std::uint64_t m_last_timer{};
    time_point m_last_pause_check;
    duration m_pause_limit{};
    pause_handler m_pause_handler;
    duration m_iteration_pause{}; // pause that ended in this iteration
    std::uint64_t m_iteration{};
    bool m_phase_ran{}; // in this iteration
    loop_work m_work;
    bool m_stopped{};
};

} // namespace skylark::io

#endif
