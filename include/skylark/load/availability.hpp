/*! @file
 *  Availability: whether an upstream wants new requests, by its own word.
 *
 *  Answers two loads. An upstream that is about to stop gets nothing that it
 *  could not finish. An overloaded one that refuses with a time gets neither
 *  requests nor probes until then, so that it can catch up. */
#ifndef SKYLARK_LOAD_AVAILABILITY_HPP
#define SKYLARK_LOAD_AVAILABILITY_HPP

#include <algorithm>
#include <utility>

#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief What one incarnation of an upstream has said of its availability.
 */
class availability {
public:
    /*! @brief Longest rest that is granted at once. An upstream that wants
     *  more says so again when it is tried. */
    static constexpr duration max_rest = std::chrono::hours{1};

    /*! @brief Records that the upstream leaves, which it cannot take back.
     *  @return whether this is news */
    bool leave() { return !std::exchange(m_leaving, true); }

    /*! @brief Records that the upstream asked for a rest. A shorter one does
     *  not end a longer one.
     *  @param now current time
     *  @param length time from now, cut to max_rest; not negative
     *  @return whether this is news: a rest begins, or lasts noticeably longer
     *  than was known */
    bool rest(time_point now, duration length) {
        const time_point end = now + std::min(length, max_rest);
        if (end <= std::max(now, m_usable_from))
            return false;
        const bool begins = m_usable_from <= now;
        const bool news = begins || end - m_usable_from >= noticeable;
        m_usable_from = end;
        return news;
    }

    /*! @brief Whether new requests and probes may be sent. */
    [[nodiscard]] bool usable(time_point now) const {
        return !m_leaving && now >= m_usable_from;
    }

    [[nodiscard]] bool leaving() const { return m_leaving; }

    /*! @brief End of the rest; in the past if there is none. Meaningless if
     *  the upstream leaves. */
    [[nodiscard]] time_point usable_from() const { return m_usable_from; }

private:
    // Refusals of requests that were sent together differ by less.
    static constexpr duration noticeable = milliseconds{100};

    bool m_leaving{};
    // Invariant: never decreases.
    time_point m_usable_from;
};

} // namespace skylark

#endif
