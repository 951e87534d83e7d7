/*! @file
 *  Share of a limit that one entry uses by itself while it reaches no owner. */
#ifndef SKYLARK_ALLOWANCE_PACED_SHARE_HPP
#define SKYLARK_ALLOWANCE_PACED_SHARE_HPP

#include <cmath>

#include <skylark/allowance/fwd.hpp>
#include <skylark/core/time.hpp>

namespace skylark {

/*! @brief Tokens at even intervals, each of which expires after a time. Shares
 *  are often far below one token a second; without the expiry all entries
 *  would save one token each, more than the limit together. */
class paced_share {
public:
    static constexpr duration token_life = seconds{1};

    /*! @brief Begins anew.
     *  @param rate tokens per second, above 0
     *  @param phase from 0 to 1, random, so that entries do not coincide
     *  @param now the present */
    void restart(double rate, double phase, time_point now) {
        m_interval = std::chrono::duration<double>{1.0 / rate};
        m_next = now + part(phase);
    }

    /*! @brief Takes a token.
     *  @return false if there is none */
    bool take(time_point now) {
        drop_expired(now);
        if (m_next > now)
            return false;
        m_next += part(1.0);
        return true;
    }

    /*! @brief Time until the next token. */
    [[nodiscard]] duration until_next(time_point now) const {
        return m_next > now ? m_next - now : duration{0};
    }

private:
    [[nodiscard]] duration part(double of) const {
        return std::chrono::duration_cast<duration>(of * m_interval);
    }

    void drop_expired(time_point now) {
        const duration late = now - token_life - m_next;
        if (late > duration{0})
            m_next += part(std::ceil(late / m_interval));
    }

    std::chrono::duration<double> m_interval{1.0};
    time_point m_next; // when the oldest token that is not taken is due
};

} // namespace skylark

#endif
