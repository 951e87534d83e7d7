// Holds one key in the platform's store while this process runs.
#ifndef SKYLARK_STORE_LEASE_HOLDER_HPP
#define SKYLARK_STORE_LEASE_HOLDER_HPP

#include <cstdint>
#include <functional>
#include <string>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"
#include "platform/kv_protocol.hpp"

namespace skylark::store {

/*! @brief State changes that a lease_holder reports. */
enum class lease_event : std::uint8_t {
    held,   //!< the key is in the store
    lost,   //!< the lease has expired; a new one is requested
    failed, //!< a call got no usable answer; the lease may still exist
};

/*! @brief Writes a key under a lease and renews the lease; when the lease has
 *  expired, requests a new one and writes the key again.
 *
 *  A call without an answer may have taken effect: a lease that was granted in
 *  a lost answer is never renewed and expires. A store that was restored from a
 *  copy may have given the lease's id to another holder, so a lease counts as
 *  expired once the store answers in a later era. */
class lease_holder {
public:
    /*! @param loop event loop
     *  @param where address of the store
     *  @param key key to hold
     *  @param value value of the key
     *  @param ttl time to live of the lease after its last renewal
     *  @param on_event called for each state change */
    lease_holder(io::event_loop& loop, address where, std::string key,
                 std::string value, duration ttl,
                 std::function<void(lease_event)> on_event);

    /*! @brief Starts, also after stop(); no effect while running. */
    void start();

    /*! @brief Ends the lease, which removes the key. */
    void stop();

    /*! @brief Whether the key was written and its lease is not known to have
     *  expired. */
    [[nodiscard]] bool held() const { return m_held; }

private:
    using answer_handler = std::function<void(const io::fetch_answer&)>;

    void run_step();
    void call(io::fetch_request request, answer_handler on_answer);
    bool is_void(const io::fetch_answer& answer) const;
    void request_lease();
    void write_key();
    void renew();
    void handle_expiry();
    void schedule_renewal();
    void schedule_step(duration wait);

    io::event_loop& m_loop;
    io::fetcher m_fetcher;
    address m_where;
    std::string m_key;
    std::string m_value;
    duration m_ttl;
    std::function<void(lease_event)> m_on_event;
    platform::kv_protocol m_protocol;
    // Invariant: 0 without a lease; then m_held is false.
    std::uint64_t m_lease_id{};
    std::uint64_t m_lease_era{}; // of the store that granted the lease
    bool m_held{};
    bool m_failing{}; // a series of failures is reported once
    bool m_stopped{true};
    // Number of starts; answers to calls of an earlier run are ignored.
    std::uint64_t m_run{};
};

} // namespace skylark::store

#endif
