/*! @file
 *  Bounded buffer of events that counts the ones it drops. */
#ifndef SKYLARK_EVENT_RING_HPP
#define SKYLARK_EVENT_RING_HPP

#include <deque>

#include <skylark/event/event.hpp>
#include <skylark/event/hybrid_clock.hpp>

namespace skylark {

/*! @brief The most recent events of one process. */
class event_ring {
public:
    /*! @param limit maximum number of events, at least 1 */
    explicit event_ring(std::size_t limit) : m_limit{limit} {}

    /*! @brief Adds an event; drops the oldest one if the buffer is full.
     *  @param wall_ms wall time in milliseconds
     *  @param kind subject area of the change
     *  @param subject object that changed
     *  @param detail description of the change
     *  @return the stored event, valid until it is dropped */
    const event& add(std::uint64_t wall_ms, event_kind kind,
                     std::string subject, std::string detail) {
        if (m_events.size() == m_limit) {
            m_events.pop_front();
            ++m_dropped;
        }
        m_events.push_back({m_clock.stamp(wall_ms), ++m_sequence, kind,
                            std::move(subject), std::move(detail)});
        return m_events.back();
    }

    [[nodiscard]] const std::deque<event>& events() const { return m_events; }
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped; }
    hybrid_clock& clock() { return m_clock; }

private:
    std::size_t m_limit;
    hybrid_clock m_clock;
    // Invariant: at most m_limit events, in order of stamp and sequence.
    std::deque<event> m_events;
    std::uint64_t m_sequence{};
    std::uint64_t m_dropped{};
};

} // namespace skylark

#endif
