// Tells a peer that is gone from one that is slow.
#ifndef SKYLARK_IO_PEER_SILENCE_HPP
#define SKYLARK_IO_PEER_SILENCE_HPP

#include <optional>

#include <skylark/core/time.hpp>

#include "io/transport_figures.hpp"

namespace skylark::io {

/*! @brief How long a peer has let something pass without a reply. A peer that
 *  keeps its window closed replies to each probe, so it is never silent,
 *  however rare the probes become. */
class peer_silence {
public:
    /*! @brief Takes in the figures of now.
     *  @param now current time
     *  @param seen figures; without them nothing is known of the peer */
    void observe(time_point now, const std::optional<transport_figures>& seen) {
        if (!seen || !awaits_reply(*seen))
            m_since.reset();
        else if (!m_since || now - seen->m_since_reply > *m_since)
            m_since = now;
    }

    /*! @brief Time for which a reply has been due, as observed. */
    duration length(time_point now) const {
        return m_since ? now - *m_since : duration{0};
    }

private:
    // Times that are equal leave open which came first.
    static bool awaits_reply(const transport_figures& seen) {
        return seen.m_probes > 0 ||
               (seen.m_unacknowledged > 0 &&
                seen.m_since_data_sent < seen.m_since_reply);
    }

    std::optional<time_point> m_since;
};

} // namespace skylark::io

#endif
