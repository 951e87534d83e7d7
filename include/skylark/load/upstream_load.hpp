/*! @file
 *  What one entry knows of the load on one upstream, and how old that is. */
#ifndef SKYLARK_LOAD_UPSTREAM_LOAD_HPP
#define SKYLARK_LOAD_UPSTREAM_LOAD_HPP

#include <cstdint>

#include <skylark/core/time.hpp>
#include <skylark/load/report.hpp>

namespace skylark {

/*! @brief Knowledge about one upstream: own requests in flight are exact,
 *  reports age, and failures weigh until answers come again. */
class upstream_load {
public:
    /*! @brief A request was given to the upstream. */
    void sent() { ++m_in_flight; }

    /*! @brief A request has left the upstream, however it ended. */
    void finished() { --m_in_flight; }

    /*! @brief Takes a report in.
     *  @param report what the upstream said
     *  @param taken when it was made, at the latest
     *  @return whether the upstream's state or incarnation changed
     *  @note An older report than the last one changes nothing. */
    bool reported(const load_report& report, time_point taken);

    /*! @brief Compares a report with own requests in flight, which the
     *  upstream must count among its own; one that disagrees again and again
     *  is distrusted.
     *  @param report from an answer that has just arrived */
    void compare(const load_report& report);

    /*! @brief An answer came: how long it took.
     *  @param took from first byte out to head in
     *  @param success false for the upstream's own failure answers */
    void measured(duration took, bool success);

    /*! @brief The upstream could not be reached or broke off. */
    void failed() { m_failures = m_failures < 8 ? m_failures + 1 : 8; }

    /*! @brief The upstream answered a question: it can be reached. */
    void answered() { m_failures = 0; }

    /*! @brief Whether it failed and has not answered since. */
    [[nodiscard]] bool suspect() const { return m_failures > 0; }

    /*! @brief Forgets the warm state; work is limited until a report. */
    void forget_warm() { m_known = false; }

    /*! @brief State to act on: cold unless a recent report says otherwise.
     *  @param now the present */
    [[nodiscard]] upstream_state state(time_point now) const;

    /*! @brief Extra requests the choice should assume on the upstream, from
     *  an overload report and from failures. Only ever pushes away.
     *  @param now the present */
    [[nodiscard]] std::uint32_t penalty(time_point now) const;

    /*! @brief Whether reports have disagreed with own measurements. */
    [[nodiscard]] bool distrusted() const {
        return m_disagreement >= distrust_limit;
    }

    /*! @brief Age of the newest report; very long when there is none. */
    [[nodiscard]] duration report_age(time_point now) const {
        return m_known ? now - m_taken : duration::max();
    }

    [[nodiscard]] std::uint32_t in_flight() const { return m_in_flight; }
    [[nodiscard]] const load_report& last_report() const { return m_report; }
    [[nodiscard]] duration typical_latency() const { return m_latency; }

private:
    static constexpr std::uint32_t distrust_limit = 16;
    std::uint32_t m_in_flight{};
    std::uint32_t m_failures{};
    std::uint32_t m_disagreement{};
    // Invariant: m_report and m_taken mean something only when m_known.
    bool m_known{};
    load_report m_report;
    time_point m_taken;
    duration m_latency{};
};

} // namespace skylark

#endif
