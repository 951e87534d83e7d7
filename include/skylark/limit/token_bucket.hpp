/*! @file
 *  Token bucket: limits a rate, with bounded bursts. */
#ifndef SKYLARK_LIMIT_TOKEN_BUCKET_HPP
#define SKYLARK_LIMIT_TOKEN_BUCKET_HPP

#include <algorithm>
#include <cstddef>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Grants at most burst + rate * t tokens in any interval of t
 *  seconds. */
class token_bucket {
public:
    /*! @brief Creates an empty bucket, so that a new owner of a budget cannot
     *  add to what the previous owner has already spent.
     *  @param rate tokens per second
     *  @param burst capacity in tokens */
    token_bucket(double rate, double burst) : m_rate{rate}, m_burst{burst} {}

    /*! @brief Creates a bucket that holds tokens.
     *  @param rate tokens per second
     *  @param burst capacity in tokens
     *  @param tokens initial content, cut off at the capacity */
    token_bucket(double rate, double burst, double tokens)
        : m_rate{rate}, m_burst{burst}, m_tokens{std::min(burst, tokens)} {}

    /*! @brief Whether a token is available; does not take it. */
    bool has(time_point now) {
        refill(now);
        return m_tokens >= 1.0;
    }

    /*! @brief Number of whole tokens available. */
    std::size_t available(time_point now) {
        refill(now);
        return static_cast<std::size_t>(m_tokens);
    }

    /*! @brief Takes one token.
     *  @param now current time
     *  @return false if none was available */
    bool take(time_point now) {
        if (!has(now))
            return false;
        m_tokens -= 1.0;
        return true;
    }

    /*! @brief Changes rate and capacity. The content stays; the next refill
     *  cuts it off at the new capacity.
     *  @param rate tokens per second
     *  @param burst capacity in tokens */
    void set_rate(double rate, double burst) {
        m_rate = rate;
        m_burst = burst;
    }

private:
    void refill(time_point now) {
        if (m_last == time_point{})
            m_last = now;
        const std::chrono::duration<double> elapsed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_burst, m_tokens + elapsed.count() * m_rate);
    }

    double m_rate;
    double m_burst;
    // Invariant: between 0 and the m_burst of the last refill.
    double m_tokens{};
    time_point m_last; // last refill; the default value before the first
};

} // namespace skylark

#endif
