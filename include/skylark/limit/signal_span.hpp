/*! @file
 *  Signal span: when a signal was sent, as far as the process can know.
 *
 *  A running process handles a signal at once, also within a long turn of its
 *  loop. One that does not run handles it when it runs again, and from within
 *  that looks like a long turn; so a pause leaves two bounds. */
#ifndef SKYLARK_LIMIT_SIGNAL_SPAN_HPP
#define SKYLARK_LIMIT_SIGNAL_SPAN_HPP

#include <algorithm>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Bounds of the time at which a signal was sent. */
struct signal_span {
    time_point m_earliest;
    time_point m_latest; //!< not before m_earliest

    /*! @brief Bounds of a signal that has been handled.
     *  @param handled when its handler ran
     *  @param now current time, not before handled
     *  @param pause length of the pause that ended just now, or zero; a signal
     *  that was handled before it was not delayed by it */
    static constexpr signal_span around(time_point handled, time_point now,
                                        duration pause) {
        return {std::min(handled, now - pause), handled};
    }
};

} // namespace skylark

#endif
