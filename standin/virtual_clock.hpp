/*! @file
 *  Events in virtual time. */
#ifndef STANDIN_VIRTUAL_CLOCK_HPP
#define STANDIN_VIRTUAL_CLOCK_HPP

#include <functional>
#include <map>

#include <skylark/core/time.hpp>

namespace standin {

/*! @brief Runs events in the order of their times; those of one time in the
 *  order in which they were added. */
class virtual_clock {
public:
    /*! @brief Time at which a clock begins. */
    static constexpr skylark::time_point begin{skylark::seconds{1000}};

    [[nodiscard]] skylark::time_point now() const { return m_now; }
    [[nodiscard]] skylark::duration elapsed() const { return m_now - begin; }

    /*! @brief Adds an event. */
    void after(skylark::duration delay, std::function<void()> what) {
        m_events.emplace(m_now + delay, std::move(what));
    }

    /*! @brief Runs events until none is left. */
    void run() {
        while (!m_events.empty()) {
            auto next = m_events.extract(m_events.begin());
            m_now = next.key();
            next.mapped()();
        }
    }

private:
    skylark::time_point m_now{begin};
    std::multimap<skylark::time_point, std::function<void()>> m_events;
};

} // namespace standin

#endif
