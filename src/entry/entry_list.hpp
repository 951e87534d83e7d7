/*! @file
 *  Lookup of the entry addresses that callers may use. */
#ifndef SKYLARK_ENTRY_ENTRY_LIST_HPP
#define SKYLARK_ENTRY_ENTRY_LIST_HPP

#include <optional>
#include <string_view>
#include <vector>

#include <skylark/core/random.hpp>

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Entry addresses that callers may use: those in the preferred zone
 *  first, then by fewer requests. Never empty.
 *  @param shared state of this entry
 *  @param preferred_zone zone of the caller; empty if unknown */
std::vector<caller_address> list_entries(const context& shared,
                                         std::string_view preferred_zone);

/*! @brief A random entry that callers may use instead of this one.
 *  @note Only for an entry that does not list itself.
 *  @return nothing if none is known */
std::optional<address> other_entry(const context& shared,
                                   random_source& random);

/*! @brief Answers a lookup of entry addresses.
 *  @param shared state of this entry
 *  @param server server of the exchange
 *  @param key exchange to answer
 *  @param path request path with query
 *  @return false, without an answer, if the path is not a lookup */
bool answer_lookup(const context& shared, io::http_server& server,
                   exchange_id key, std::string_view path);

} // namespace skylark::entry

#endif
