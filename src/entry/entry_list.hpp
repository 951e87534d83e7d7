// Lookups: which addresses callers may use.
#ifndef SKYLARK_ENTRY_ENTRY_LIST_HPP
#define SKYLARK_ENTRY_ENTRY_LIST_HPP

#include <string_view>
#include <vector>

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Addresses that callers may use, best first.
 *  @param shared the entry
 *  @param near zone whose entries go first */
std::vector<caller_address> list_entries(const context& shared,
                                         std::string_view near);

/*! @brief Answers a caller that asks where to connect.
 *  @param shared the entry
 *  @param server that has the exchange
 *  @param key the exchange
 *  @param path with query
 *  @return false when the path is no such question */
bool answer_lookup(const context& shared, io::http_server& server,
                   exchange_id key, std::string_view path);

} // namespace skylark::entry

#endif
