// The published key-value and catalogue interface of Consul, over HTTP.
#ifndef SKYLARK_STORE_CONSUL_PROTOCOL_HPP
#define SKYLARK_STORE_CONSUL_PROTOCOL_HPP

#include <cstdint>
#include <string>

#include <skylark/core/error.hpp>
#include <skylark/discovery/instance.hpp>

#include "io/fetcher.hpp"
#include "store/stored_value.hpp"

namespace skylark::store {

/*! @brief Formats requests and reads answers; keeps no connection. */
struct consul_protocol {
    /*! @brief A read; with an index it waits for a later one. */
    [[nodiscard]] io::fetch_request
    get(std::string_view key, std::uint64_t index, duration wait) const;

    /*! @brief A compare-and-swap; revision 0 creates. */
    [[nodiscard]] io::fetch_request
    swap(std::string_view key, std::uint64_t revision, std::string text) const;

    /*! @brief A read of the instance list, as get(). */
    [[nodiscard]] io::fetch_request instances(std::uint64_t index,
                                              duration wait) const;

    [[nodiscard]] parsed<stored_value>
    read_value(const io::fetch_answer& answer) const;

    [[nodiscard]] parsed<bool> read_swap(const io::fetch_answer& answer) const;

    [[nodiscard]] parsed<instance_list>
    read_instances(const io::fetch_answer& answer) const;
};

/*! @brief Reads the catalogue's JSON.
 *  @param text the JSON
 *  @param index of the list */
parsed<instance_list> parse_instances(std::string_view text,
                                      std::uint64_t index);

} // namespace skylark::store

#endif
