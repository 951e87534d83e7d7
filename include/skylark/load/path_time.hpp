/*! @file
 *  Estimates how long probes of one other zone take on the path, so that their
 *  timeouts fit zones that are near and zones that are far.
 *
 *  The estimate is one of the path, not of the upstreams' load: samples far
 *  above the mean count little, because they show a slow upstream or a pause of
 *  this process. */
#ifndef SKYLARK_LOAD_PATH_TIME_HPP
#define SKYLARK_LOAD_PATH_TIME_HPP

#include <algorithm>
#include <cmath>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Mean and deviation of the round trip of a probe and of the set-up of
 *  a connection, over the probes of one zone that were answered. */
class path_time {
public:
    //! Least timeout: about four round trips between near zones, connection
    //! set-up included.
    static constexpr duration least_timeout = milliseconds{8};
    //! Timeout before the first sample. One probe with set-up takes 18 ms on
    //! the longest path known, 4.5 ms one way.
    static constexpr duration first_timeout = milliseconds{40};
    //! A longer wait leaves no time for the request itself.
    static constexpr duration longest_timeout = milliseconds{100};

    /*! @brief Adds the time from writing a probe to its response. */
    void add_round_trip(duration sample) { m_round_trip.add(sample); }

    /*! @brief Adds the time that opening a connection took. */
    void add_set_up(duration sample) { m_set_up.add(sample); }

    /*! @brief Whether a probe was answered yet. */
    [[nodiscard]] bool known() const { return m_round_trip.m_known; }

    /*! @brief Mean round trip of a probe; zero if none is known. */
    [[nodiscard]] duration round_trip() const { return m_round_trip.mean(); }

    /*! @brief Mean time of a probe; zero if none is known.
     *  @param with_set_up whether a connection is opened for it */
    [[nodiscard]] duration expected(bool with_set_up) const {
        return with_set_up ? round_trip() + set_up().mean() : round_trip();
    }

    /*! @brief Time after which a probe is overdue.
     *  @param with_set_up whether a connection is opened for it */
    [[nodiscard]] duration timeout(bool with_set_up) const {
        if (!known())
            return first_timeout;
        duration sum = m_round_trip.upper();
        if (with_set_up)
            sum += set_up().upper();
        return std::clamp(sum, least_timeout, longest_timeout);
    }

    /*! @brief Time by which validities that were chosen for near zones are
     *  longer on this path; zero for near zones, and before the first sample.
     */
    [[nodiscard]] duration allowance() const {
        return known() ? timeout(true) - least_timeout : duration{0};
    }

private:
    // In seconds, as Jacobson's estimator of round trips in TCP, with bounded
    // samples.
    struct estimate {
        void add(duration sample) {
            const double bounded =
                m_known ? std::min(seconds_of(sample), 2.0 * m_mean)
                        : std::min(seconds_of(sample),
                                   seconds_of(first_timeout) / 2.0);
            // No response is faster than the path, so a mean of more than twice
            // the sample is one of pauses, or of a path that became shorter.
            if (!m_known || bounded < m_mean / 2.0) {
                m_mean = std::max(bounded, least_mean);
                m_deviation = m_mean / 4.0;
                m_known = true;
                return;
            }
            m_deviation +=
                (std::abs(bounded - m_mean) - m_deviation) * sample_weight;
            m_mean = std::max(m_mean + (bounded - m_mean) * sample_weight,
                              least_mean);
        }

        [[nodiscard]] duration mean() const { return to_duration(m_mean); }

        // A steady path has nearly no deviation, and a full load still delays
        // responses, so a part of the mean stands in for it.
        [[nodiscard]] duration upper() const {
            return to_duration(m_mean +
                               4.0 * std::max(m_deviation, m_mean / 8.0));
        }

        double m_mean{};
        double m_deviation{};
        bool m_known{};
    };

    // A deviation weighted by 1/4 let one pause in 20 probes lengthen the
    // timeout of near zones.
    static constexpr double sample_weight = 1.0 / 8;
    // Keeps twice the mean above zero, so that a longer path is learnt.
    static constexpr double least_mean = 0.0001;

    static double seconds_of(duration value) {
        return std::chrono::duration<double>{value}.count();
    }
    static duration to_duration(double value) {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{value});
    }

    // Opening a connection takes a round trip as well.
    [[nodiscard]] const estimate& set_up() const {
        return m_set_up.m_known ? m_set_up : m_round_trip;
    }

    estimate m_round_trip;
    estimate m_set_up;
};

} // namespace skylark

#endif
