/*! @file
 *  Token bucket: a rate that is kept by construction. */
#ifndef SKYLARK_LIMIT_TOKEN_BUCKET_HPP
#define SKYLARK_LIMIT_TOKEN_BUCKET_HPP

#include <algorithm>
#include <cstddef>

#include <skylark/core/time.hpp>
#include <skylark/limit/fwd.hpp>

namespace skylark {

/*! @brief Grants at most burst + rate * t in any time t. */
class token_bucket {
public:
    /*! @param rate tokens a second
     *  @param burst tokens that may gather; the bucket begins empty, so that
     *  a new owner of a budget adds nothing to what the old one spent */
    token_bucket(double rate, double burst) : m_rate{rate}, m_burst{burst} {}

    /*! @param tokens that are there at first */
    token_bucket(double rate, double burst, double tokens)
        : m_rate{rate}, m_burst{burst}, m_tokens{std::min(burst, tokens)} {}

    /*! @brief Whether a token is there, without taking it. */
    bool has(time_point now) {
        refill(now);
        return m_tokens >= 1.0;
    }

    /*! @brief Whole tokens that are there. */
    std::size_t available(time_point now) {
        refill(now);
        return static_cast<std::size_t>(m_tokens);
    }

    /*! @brief Takes one token.
     *  @param now the present
     *  @return whether there was one */
    bool take(time_point now) {
        if (!has(now))
            return false;
        m_tokens -= 1.0;
        return true;
    }

    /*! @brief Changes the rate; gathered tokens stay up to the burst.
     *  @param rate tokens a second
     *  @param burst tokens that may gather */
    void set_rate(double rate, double burst) {
        m_rate = rate;
        m_burst = burst;
    }

private:
    void refill(time_point now) {
        if (m_last == time_point{})
            m_last = now;
        const std::chrono::duration<double> passed = now - m_last;
        m_last = now;
        m_tokens = std::min(m_burst, m_tokens + passed.count() * m_rate);
    }

    double m_rate;
    double m_burst;
    // Invariant: between 0 and m_burst.
    double m_tokens{};
    time_point m_last;
};

} // namespace skylark

#endif
