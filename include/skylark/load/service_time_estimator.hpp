/*! @file
 *  Estimates the service time of the requests of one rule from response
 *  latencies, and by how much it grows on upstreams whose slots are all in use.
 *
 *  The second figure is for services whose upstreams slow down when nearly
 *  full: there, using the last slots costs more throughput than it adds. */
#ifndef SKYLARK_LOAD_SERVICE_TIME_ESTIMATOR_HPP
#define SKYLARK_LOAD_SERVICE_TIME_ESTIMATOR_HPP

#include <algorithm>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Exponentially weighted averages over responses. */
class service_time_estimator {
public:
    /*! @brief Adds a response of an upstream that had no queue.
     *  @param latency time from writing the request to the response head
     *  @param slowness current service time of the upstream as a multiple of
     *  its normal one; divided out of the sample
     *  @param saturated whether all slots of the upstream were in use */
    void add_sample(duration latency, double slowness, bool saturated) {
        const double seconds = std::chrono::duration<double>{latency}.count();
        const double sample = seconds / std::max(slowness, min_slowness);
        if (!saturated) {
            m_service_time +=
                m_known ? (sample - m_service_time) * sample_weight : sample;
            m_known = true;
        } else if (m_known && m_service_time > 0.0) {
            const double slowdown =
                std::clamp(sample / m_service_time - 1.0, 0.0, max_slowdown);
            m_slowdown += (slowdown - m_slowdown) * sample_weight;
        }
    }

    /*! @brief Service time of one request on an upstream with free slots;
     *  zero if there is no sample yet. */
    [[nodiscard]] duration service_time() const {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{m_service_time});
    }

    /*! @brief Fraction by which the service time grows while all slots are in
     *  use: 0 for no change, at most 2. */
    [[nodiscard]] double saturation_slowdown() const { return m_slowdown; }

private:
    static constexpr double sample_weight = 1.0 / 16; // of a new sample
    static constexpr double min_slowness = 0.01;
    static constexpr double max_slowdown = 2.0;
    // Assumed until samples replace it: a single entry sends too few requests
    // to learn the value in the seconds in which it matters.
    static constexpr double initial_slowdown = 0.7;

    double m_service_time{}; // seconds
    double m_slowdown{initial_slowdown};
    bool m_known{}; // whether m_service_time holds a sample
};

} // namespace skylark

#endif
