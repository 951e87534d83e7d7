/*! @file
 *  Health record: what an upstream says of its health, against what its answers
 *  show.
 *
 *  Health checks may be wrong. While room is scarce, an upstream that says that
 *  it is unhealthy is tried, and used for as long as it answers well. */
#ifndef SKYLARK_LOAD_HEALTH_RECORD_HPP
#define SKYLARK_LOAD_HEALTH_RECORD_HPP

#include <optional>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Health of one upstream, from its health checks and its answers to
 *  requests of this entry. */
class health_record {
public:
    /*! @brief Records a health check.
     *  @param healthy what the upstream says */
    void checked(bool healthy) { m_says_healthy = healthy; }

    /*! @brief Records the outcome of a request.
     *  @param success false for a failure or a lost answer */
    void answered(bool success, time_point now) {
        m_last_answer = now;
        m_last_success = success;
    }

    /*! @brief Whether requests may be sent: the upstream says that it is
     *  healthy, or its last answer was recent and good. */
    [[nodiscard]] bool usable(time_point now) const {
        return m_says_healthy || (m_last_success && recent(now));
    }

    /*! @brief Whether one request may be sent to find out whether an upstream
     *  that is not usable answers well: not soon after a failure. */
    [[nodiscard]] bool may_try(time_point now) const {
        return !usable(now) && (m_last_success || !recent(now));
    }

    [[nodiscard]] bool says_healthy() const { return m_says_healthy; }

private:
    // How long an answer tells more about the upstream than its health checks.
    static constexpr duration answer_validity = seconds{3};

    [[nodiscard]] bool recent(time_point now) const {
        return m_last_answer && now - *m_last_answer < answer_validity;
    }

    bool m_says_healthy{true};
    std::optional<time_point> m_last_answer;
    bool m_last_success{}; // valid only with m_last_answer
};

} // namespace skylark

#endif
