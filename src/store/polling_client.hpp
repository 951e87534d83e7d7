// Client of a store that answers blocking reads.
#ifndef SKYLARK_STORE_POLLING_CLIENT_HPP
#define SKYLARK_STORE_POLLING_CLIENT_HPP

#include <functional>
#include <string>

#include "io/fetcher.hpp"
#include "store/consul_protocol.hpp"
#include "store/result.hpp"

namespace skylark::store {

/*! @brief Each call is one request; the store holds a read back until there
 *  is something newer. */
class polling_client {
public:
    polling_client(io::event_loop& loop, address where);

    /*! @brief See client::read. */
    void read(std::uint64_t index, duration wait,
              std::function<void(const read_result&)> done);

    /*! @brief See client::write. */
    void write(std::uint64_t revision, std::string text,
               std::function<void(const write_result&)> done);

    /*! @brief See client::instances. */
    void instances(std::uint64_t index, duration wait,
                   std::function<void(const list_result&)> done);

    /*! @brief The catalogue lags behind the instances. */
    static constexpr bool exact_instances = false;

    /*! @brief See client::longest_read. */
    static constexpr duration longest_read() { return seconds{1}; }

    /*! @brief See client::confirmed. */
    static constexpr time_point confirmed(time_point asked) { return asked; }

    /*! @brief See client::lost; here every entry asks for itself. */
    static constexpr bool lost(time_point) { return false; }

private:
    io::fetcher m_fetcher;
    address m_where;
    consul_protocol m_protocol;
};

} // namespace skylark::store

#endif
