/*! @file
 *  Load state that an entry keeps for one upstream, and the age of the last
 *  report behind it. */
#ifndef SKYLARK_LOAD_UPSTREAM_LOAD_HPP
#define SKYLARK_LOAD_UPSTREAM_LOAD_HPP

#include <algorithm>
#include <cstdint>

#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>

namespace skylark {

/*! @brief Load state of one upstream. The count of this entry's requests in
 *  flight is exact, reports expire, and failures add a penalty until the
 *  upstream responds again. */
class upstream_load {
public:
    /*! @brief Counts a request that was sent to the upstream. */
    void request_sent() {
        ++m_in_flight;
        ++m_sent_since_report;
    }

    /*! @brief Counts the end of a request, whatever its outcome. */
    void request_finished() { --m_in_flight; }

    /*! @brief Replaces the last report by a newer one.
     *  @param report report of the upstream
     *  @param taken latest time at which the report can have been made
     *  @return whether the upstream's state or incarnation changed
     *  @note A report older than the last one is ignored. */
    bool update_report(const load_report& report, time_point taken);

    /*! @brief Checks a report against this entry's requests in flight, which
     *  the upstream must include in its own count. Repeated contradictions
     *  make the upstream's reports distrusted.
     *  @param report report in a response that has just arrived */
    void cross_check(const load_report& report);

    /*! @brief Records a response and its latency.
     *  @param latency time from the first byte sent to the response head
     *  @param success false if the upstream responded with a failure; it then
     *  counts as a failure and its latency is ignored */
    void record_response(duration latency, bool success);

    /*! @brief Records a failed connect or a connection that broke off; at
     *  most eight failures count. */
    void record_failure() { m_failures = m_failures < 8 ? m_failures + 1 : 8; }

    /*! @brief Resets the failure count: the upstream responded to a load
     *  query, so it can be reached. */
    void clear_failures() { m_failures = 0; }

    /*! @brief Whether the upstream failed and has not responded since. */
    [[nodiscard]] bool suspect() const { return m_failures > 0; }

    /*! @brief Discards the last report. The upstream counts as cold, which
     *  limits its requests, until the next report. */
    void discard_report() { m_known = false; }

    /*! @brief Effective state: cold unless a recent report says otherwise.
     *  @param now current time */
    [[nodiscard]] upstream_state state(time_point now) const;

    /*! @brief Requests to add to the upstream's load when upstreams are
     *  compared: its reported queue, while recent, and a fixed number for
     *  each failure. A penalty never makes an upstream more attractive.
     *  @param now current time */
    [[nodiscard]] std::uint32_t penalty(time_point now) const;

    /*! @brief Whether reports have repeatedly contradicted this entry's own
     *  count of requests in flight. */
    [[nodiscard]] bool distrusted() const {
        return m_disagreement >= distrust_limit;
    }

    /*! @brief Age of the last report; duration::max() if there is none. */
    [[nodiscard]] duration report_age(time_point now) const {
        return m_known ? now - m_taken : duration::max();
    }

    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }
    [[nodiscard]] const load_report& last_report() const { return m_report; }

    /*! @brief Last report, with the requests added that this entry has sent
     *  since then and that have not ended. */
    [[nodiscard]] load_report report_with_own() const {
        return with_more(m_report, std::min(m_sent_since_report, m_in_flight));
    }
    [[nodiscard]] duration smoothed_latency() const { return m_latency; }

private:
    static constexpr std::uint32_t distrust_limit = 16;
    std::uint32_t m_in_flight{};
    std::uint32_t m_failures{};
    std::uint32_t m_disagreement{};
    // Invariant: m_report and m_taken are valid only if m_known.
    bool m_known{};
    load_report m_report;
    std::uint32_t m_sent_since_report{}; // an upper bound on those not in it
    time_point m_taken;
    duration m_latency{};
};

} // namespace skylark

#endif
