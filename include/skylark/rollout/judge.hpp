/*! @file
 *  Judgement on a version from the sums of the exposures.
 *
 *  The rate of bad responses of the target version is compared with that of
 *  the earlier one on the same route in the same span of time. Short spans show
 *  a version that becomes bad late, which many good responses would hide in
 *  the whole sum. */
#ifndef SKYLARK_ROLLOUT_JUDGE_HPP
#define SKYLARK_ROLLOUT_JUDGE_HPP

#include <cstdint>
#include <deque>
#include <string_view>

#include <skylark/core/time.hpp>
#include <skylark/rollout/exposure.hpp>

namespace skylark {

/*! @brief What is known of a version. */
enum class rollout_verdict : std::uint8_t { undecided, good, bad };

/*! @brief Name of a verdict in logs and commands. */
std::string_view name_of(rollout_verdict value);

/*! @brief Time since an order, and from the order to its deadline. */
struct rollout_times {
    duration m_elapsed{};
    duration m_total{};

    /*! @brief Whether a part of the time to the deadline has passed. */
    [[nodiscard]] bool passed(double part) const {
        return static_cast<double>(m_elapsed.count()) >=
               part * static_cast<double>(m_total.count());
    }
};

/*! @brief Whether the counts of one span show a bad version. */
bool shows_bad(const exposure& span);

/*! @brief Whether the target version has responded often enough on each route
 *  that has traffic. */
bool has_enough(const exposure& sums);

/*! @brief Keeps earlier sums and judges on the spans since then. */
class rollout_judge {
public:
    /*! @brief Judges on the present sums. The verdict "bad" is final.
     *  @param sums of all entries; never lower than in the call before
     *  @param times since the order
     *  @param now the present */
    rollout_verdict judge(const exposure& sums, const rollout_times& times,
                          time_point now);

private:
    struct past_sums {
        time_point m_at;
        exposure m_sums;
    };

    std::deque<past_sums> m_past; // oldest first, a second apart
    bool m_bad{};
};

} // namespace skylark

#endif
