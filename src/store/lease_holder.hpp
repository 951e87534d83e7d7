// Keeps one key in the platform's store for as long as this process lives.
#ifndef SKYLARK_STORE_LEASE_HOLDER_HPP
#define SKYLARK_STORE_LEASE_HOLDER_HPP

#include <cstdint>
#include <functional>
#include <string>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "platform/kv_protocol.hpp"

namespace skylark::store {

/*! @brief What a lease holder reports. */
enum class lease_event : std::uint8_t {
    held,   //!< the key is in the store
    lost,   //!< the lease has ended; another one is asked for
    failed, //!< a call had no usable answer; the lease may go on
};

/*! @brief Writes a key under a lease and renews the lease; when it has ended,
 *  begins anew. A call without an answer may have taken effect: a lease of
 *  which nothing was heard ends by itself. */
class lease_holder {
public:
    /*! @param loop event loop
     *  @param where the store
     *  @param key to hold
     *  @param value that it has
     *  @param life of the lease after its last renewal
     *  @param told is called for each change */
    lease_holder(io::event_loop& loop, address where, std::string key,
                 std::string value, duration life,
                 std::function<void(lease_event)> told);

    /*! @brief Begins, also after a stop. */
    void start();

    /*! @brief Ends the lease, and with it the key. */
    void stop();

    [[nodiscard]] bool held() const { return m_held; }

private:
    using reader = std::function<void(const io::fetch_answer&)>;

    void step();
    void call(io::fetch_request what, reader read);
    void ask();
    void write();
    void renew();
    void lose();
    void renew_later();
    void again(duration wait);

    io::event_loop& m_loop;
    io::fetcher m_fetcher;
    address m_where;
    std::string m_key;
    std::string m_value;
    duration m_life;
    std::function<void(lease_event)> m_told;
    platform::kv_protocol m_protocol;
    // Invariant: 0 while there is no lease; then m_held is false.
    std::uint64_t m_lease{};
    bool m_held{};
    bool m_failing{}; // told once for each series of failures
    bool m_stopped{true};
    std::uint64_t m_run{}; // counts starts; calls of an earlier one are over
};

} // namespace skylark::store

#endif
