/*! @file
 *  Answer flow: how an upstream's answer has been arriving lately.
 *
 *  Counts only the time in which the answer was read: not that in which its
 *  caller took no more of it, nor that in which the process was paused. Reads
 *  no clock: time is an argument. */
#ifndef SKYLARK_LIMIT_ANSWER_FLOW_HPP
#define SKYLARK_LIMIT_ANSWER_FLOW_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Silence and pace of one answer. */
class answer_flow {
public:
    /*! @param begun when its head arrived */
    explicit constexpr answer_flow(time_point begun)
        : m_begun{begun}, m_last{begun}, m_slot_begun{begun} {}

    /*! @brief A part of the body has arrived.
     *  @param now current time
     *  @param bytes its size */
    constexpr void arrived(time_point now, std::uint64_t bytes) {
        advance(now);
        m_last = read_time(now);
        m_slot_bytes += bytes;
        m_bytes += bytes;
    }

    /*! @brief Reading stops, as the caller takes no more at present. */
    constexpr void stopped(time_point now) {
        if (!m_stopped)
            m_stopped = now;
    }

    /*! @brief Reading goes on. */
    constexpr void resumed(time_point now) {
        if (m_stopped)
            m_not_read += now - *m_stopped;
        m_stopped.reset();
    }

    /*! @brief The process was paused.
     *  @param gap length of the pause, which has just ended */
    constexpr void process_paused(duration gap) {
        if (!m_stopped)
            m_not_read += gap;
    }

    /*! @brief Time since a byte arrived last. */
    [[nodiscard]] constexpr duration silence(time_point now) const {
        return std::max(duration{0}, read_time(now) - m_last);
    }

    /*! @brief Bytes a second in the last 0.25 to 0.5 s before a byte
     *  arrived last. */
    [[nodiscard]] constexpr double pace() const {
        const time_point from = std::max(m_begun, m_slot_begun - slot);
        return per_second(m_previous_bytes + m_slot_bytes, m_last - from);
    }

    /*! @brief Bytes a second until a byte arrived last. */
    [[nodiscard]] constexpr double mean_pace() const {
        return per_second(m_bytes, m_last - m_begun);
    }

private:
    static constexpr duration slot = milliseconds{250};

    static constexpr double per_second(std::uint64_t bytes, duration time) {
        const duration least = std::max(time, duration{milliseconds{1}});
        return static_cast<double>(bytes) /
               std::chrono::duration<double>{least}.count();
    }

    // Time of a clock that stands still while nothing is read.
    [[nodiscard]] constexpr time_point read_time(time_point now) const {
        return m_stopped.value_or(now) - m_not_read;
    }

    constexpr void advance(time_point now) {
        const duration past = read_time(now) - m_slot_begun;
        if (past < slot)
            return;
        m_previous_bytes = past < 2 * slot ? m_slot_bytes : 0;
        m_slot_bytes = 0;
        m_slot_begun += past / slot * slot;
    }

    // All times but m_stopped are of read_time().
    time_point m_begun;
    time_point m_last;
    time_point m_slot_begun;
    std::uint64_t m_slot_bytes{};
    std::uint64_t m_previous_bytes{};
    std::uint64_t m_bytes{};
    duration m_not_read{};
    std::optional<time_point> m_stopped;
};

} // namespace skylark

#endif
