// Client of a store that supports blocking reads (long polls).
#ifndef SKYLARK_STORE_POLLING_CLIENT_HPP
#define SKYLARK_STORE_POLLING_CLIENT_HPP

#include <functional>
#include <set>
#include <string>

#include <skylark/config/config.hpp>

#include "io/fetcher.hpp"
#include "store/consul_protocol.hpp"
#include "store/result.hpp"

namespace skylark::store {

/*! @brief Sends one request per call; the store blocks a read until there is a
 *  later revision. */
class polling_client {
public:
    /*! @param loop event loop
     *  @param where address of the store
     *  @param on_odd called once for each instance that cannot be parsed */
    polling_client(io::event_loop& loop, address where, odd_handler on_odd);

    /*! @brief See client::read. */
    void read(const store_position& index, duration wait,
              std::function<void(const read_result&)> done);

    /*! @brief See client::write. */
    void write(std::uint64_t revision, std::string text,
               std::function<void(const write_result&)> done);

    /*! @brief See client::instances. */
    void instances(const store_position& index, duration wait,
                   std::function<void(const list_result&)> done);

    /*! @brief The catalogue lags behind the instances. */
    static constexpr bool authoritative_instances = false;

    /*! @brief See client::max_read_wait. */
    static constexpr duration max_read_wait() { return seconds{1}; }

    /*! @brief See client::confirmed_at. */
    static constexpr time_point confirmed_at(time_point started) {
        return started;
    }

    /*! @brief See client::confirmed; a catalogue keeps what lapses in an
     *  outage. */
    static void confirmed(time_point) {}

    /*! @brief See client::retry_wait. */
    static constexpr duration retry_wait(time_point) {
        return defaults::store_retry_wait;
    }

    /*! @brief See client::lost; always false, as every entry reads on its own.
     */
    static constexpr bool lost(time_point) { return false; }

private:
    io::fetcher m_fetcher;
    address m_where;
    odd_handler m_on_odd;
    std::set<std::string> m_told; // odd instances of the last list
    consul_protocol m_protocol;
};

} // namespace skylark::store

#endif
