// One loop on one thread: sockets, timers, and detection of its own pauses.
#ifndef SKYLARK_IO_EVENT_LOOP_HPP
#define SKYLARK_IO_EVENT_LOOP_HPP

#include <functional>
#include <map>

#include <skylark/core/id.hpp>
#include <skylark/core/time.hpp>

struct st_h2o_evloop_t;

namespace skylark::io {

/*! @brief Event loop over h2o's, with timers at arbitrary due times. */
class event_loop {
public:
    using task = std::function<void()>;
    using pause_handler = std::function<void(duration)>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /*! @brief Reads the monotonic clock.
     *  @return the present, not the time at which the turn began */
    static time_point now();

    /*! @brief Runs a task once, later.
     *  @param delay time from now
     *  @param what the task
     *  @return id for cancel */
    timer_id after(duration delay, task what);

    /*! @brief Runs a task again and again until the loop ends.
     *  @param period time between two runs
     *  @param what the task */
    void every(duration period, task what);

    /*! @brief Forgets a timer; nothing happens when it is gone.
     *  @param key id from after() */
    void cancel(timer_id key);

    /*! @brief Sets who is told, before anything else runs, that the process
     *  did not run for longer than the limit.
     *  @param limit shortest gap that counts, at least the longest wait
     *  @param handler gets the length of the gap */
    void on_pause(duration limit, pause_handler handler);

    /*! @brief Looks for a pause now. Whoever is called for a socket calls this
     *  first, so that what waited in the kernel meanwhile is seen for what it
     *  is: up to the pause's length old.
     *  @return length of the pause that ended in this turn, or zero */
    duration notice_pause();

    /*! @brief Runs turns until stop() was called. */
    void run();

    /*! @brief Runs one turn.
     *  @param longest_wait upper bound for waiting for an event */
    void run_once(duration longest_wait);

    /*! @brief Ends run() after the present turn. */
    void stop() { m_stopped = true; }

    /*! @brief h2o's loop, for the io module. */
    st_h2o_evloop_t* native() { return m_native; }

private:
    struct due_order {
        time_point m_due;
        timer_id m_key;
        auto operator<=>(const due_order&) const = default;
    };

    void run_due_timers();
    void arm_wake_up();

    st_h2o_evloop_t* m_native;
    int m_wake_up;        // timer descriptor
    time_point m_armed{}; // when the descriptor is due
    // Invariant: m_timers and m_due name the same timers.
    std::map<due_order, task> m_timers;
    std::map<timer_id, time_point> m_due;
    std::uint64_t m_last_timer{};
    time_point m_last_turn;
    duration m_pause_limit{};
    pause_handler m_pause_handler;
    duration m_turn_pause{}; // pause that ended in the present turn
    bool m_stopped{};
};

} // namespace skylark::io

#endif
