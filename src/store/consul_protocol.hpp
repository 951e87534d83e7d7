// Consul's public key-value and catalogue API over HTTP.
#ifndef SKYLARK_STORE_CONSUL_PROTOCOL_HPP
#define SKYLARK_STORE_CONSUL_PROTOCOL_HPP

#include <cstdint>
#include <functional>
#include <string>

#include <skylark/core/error.hpp>
#include <skylark/discovery/instance.hpp>

#include "io/fetcher.hpp"
#include "store/stored_value.hpp"

namespace skylark::store {

/*! @brief Gets what could not be used of an answer. */
using odd_handler = std::function<void(const input_error&)>;

/*! @brief Formats requests and parses answers; stateless. */
struct consul_protocol {
    /*! @brief Formats a read of one key.
     *  @param key name of the key
     *  @param index 0 reads at once; otherwise the read blocks until the store
     *  has a later index
     *  @param wait longest time that the read blocks */
    [[nodiscard]] io::fetch_request
    get(std::string_view key, std::uint64_t index, duration wait) const;

    /*! @brief Formats a compare-and-swap of one key.
     *  @param key name of the key
     *  @param revision expected revision; 0 creates the key
     *  @param text new value */
    [[nodiscard]] io::fetch_request
    swap(std::string_view key, std::uint64_t revision, std::string text) const;

    /*! @brief Formats a read of the instance list; parameters as for get(). */
    [[nodiscard]] io::fetch_request instances(std::uint64_t index,
                                              duration wait) const;

    /*! @brief Parses the answer to get(); revision 0 for a missing key. */
    [[nodiscard]] parsed<stored_value>
    read_value(const io::fetch_answer& answer) const;

    /*! @brief Parses the answer to swap(); false: the revision has changed. */
    [[nodiscard]] parsed<bool> read_swap(const io::fetch_answer& answer) const;

    /*! @brief Parses the answer to instances(), see parse_instances(). */
    [[nodiscard]] parsed<instance_list>
    read_instances(const io::fetch_answer& answer,
                   const odd_handler& on_odd) const;
};

/*! @brief Parses the catalogue's JSON.
 *  @param text JSON array of instances
 *  @param index index of the list
 *  @param on_odd called for each instance that cannot be parsed; the list
 *  does without it
 *  @return the list, or an error if the text is no array */
parsed<instance_list> parse_instances(std::string_view text,
                                      std::uint64_t index,
                                      const odd_handler& on_odd = {});

} // namespace skylark::store

#endif
