/*! @file
 *  Bounded ring of events; what it had to forget is counted. */
#ifndef SKYLARK_EVENT_RING_HPP
#define SKYLARK_EVENT_RING_HPP

#include <deque>

#include <skylark/event/event.hpp>
#include <skylark/event/hybrid_clock.hpp>

namespace skylark {

/*! @brief The events of one process. */
class event_ring {
public:
    explicit event_ring(std::size_t limit) : m_limit{limit} {}

    /*! @brief Adds an event.
     *  @param wall_ms wall time in milliseconds
     *  @param kind what changed
     *  @param subject what it is about
     *  @param detail what happened
     *  @return the event as kept */
    const event& add(std::uint64_t wall_ms, event_kind kind,
                     std::string subject, std::string detail) {
        if (m_events.size() == m_limit) {
            m_events.pop_front();
            ++m_lost;
        }
        m_events.push_back({m_clock.stamp(wall_ms), ++m_sequence, kind,
                            std::move(subject), std::move(detail)});
        return m_events.back();
    }

    [[nodiscard]] const std::deque<event>& events() const { return m_events; }
    [[nodiscard]] std::uint64_t lost() const { return m_lost; }
    hybrid_clock& clock() { return m_clock; }

private:
    std::size_t m_limit;
    hybrid_clock m_clock;
    // Invariant: at most m_limit events, in order of stamp and sequence.
    std::deque<event> m_events;
    std::uint64_t m_sequence{};
    std::uint64_t m_lost{};
};

} // namespace skylark

#endif
