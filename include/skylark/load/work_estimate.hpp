/*! @file
 *  Work estimate: how long requests of one rule take, learnt from answers, and
 *  how much longer on upstreams whose slots are all used.
 *
 *  Answers the load of services whose upstreams slow down when nearly full:
 *  there the last slots cost more than they give. */
#ifndef SKYLARK_LOAD_WORK_ESTIMATE_HPP
#define SKYLARK_LOAD_WORK_ESTIMATE_HPP

#include <algorithm>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Averages over the last answers. */
class work_estimate {
public:
    /*! @brief An answer came from an upstream that had no queue.
     *  @param took from the request's write to the answer's head
     *  @param slowness of the upstream, 1 when it was as usual
     *  @param crowded whether all its slots were used */
    void answered(duration took, double slowness, bool crowded) {
        const double seconds = std::chrono::duration<double>{took}.count();
        const double sample = seconds / std::max(slowness, least_slowness);
        if (!crowded) {
            m_work += m_known ? (sample - m_work) * weight : sample;
            m_known = true;
        } else if (m_known && m_work > 0.0) {
            const double longer =
                std::clamp(sample / m_work - 1.0, 0.0, most_crowding);
            m_crowding += (longer - m_crowding) * weight;
        }
    }

    /*! @brief Time of one request on an idle upstream; zero when unknown. */
    [[nodiscard]] duration work() const {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{m_work});
    }

    /*! @brief Part by which work takes longer while all slots are used. */
    [[nodiscard]] double crowding() const { return m_crowding; }

private:
    static constexpr double weight = 1.0 / 16; // of a new sample
    static constexpr double least_slowness = 0.01;
    static constexpr double most_crowding = 2.0;
    // Until answers tell otherwise: an entry sends too rarely to learn it in
    // the seconds in which it matters.
    static constexpr double first_crowding = 0.7;

    double m_work{}; // seconds
    double m_crowding{first_crowding};
    bool m_known{};
};

} // namespace skylark

#endif
