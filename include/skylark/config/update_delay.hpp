/*! @file
 *  Update delay: how an entry came to a newer version, for logs and metrics. */
#ifndef SKYLARK_CONFIG_UPDATE_DELAY_HPP
#define SKYLARK_CONFIG_UPDATE_DELAY_HPP

#include <optional>
#include <utility>

#include <skylark/core/address.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief First announcement of a version that is newer than the one in force,
 *  and what became of the fetches since. */
struct announcement {
    time_point m_at;
    address m_by;
    unsigned m_failed_fetches{};
};

/*! @brief Tracks the time from an announcement to the next adoption. */
class update_delay {
public:
    /*! @brief A peer announced a newer version. Only the first announcement
     *  since the last adoption counts.
     *  @param by the peer
     *  @param now current time */
    void announced(const address& by, time_point now) {
        if (!m_first)
            m_first = announcement{now, by};
    }

    /*! @brief A fetch brought nothing usable. */
    void fetch_failed() {
        if (m_first)
            ++m_first->m_failed_fetches;
    }

    /*! @brief A newer version was adopted, or cannot be used.
     *  @return the announcement, if there was one */
    std::optional<announcement> ended() {
        return std::exchange(m_first, std::nullopt);
    }

    /*! @brief Time since the announcement; zero if nothing is pending.
     *  @param now current time */
    [[nodiscard]] duration pending_for(time_point now) const {
        return m_first ? now - m_first->m_at : duration{0};
    }

private:
    std::optional<announcement> m_first;
};

} // namespace skylark

#endif
