// GET /entries: which addresses callers may use.
#ifndef SKYLARK_ENTRY_ENTRY_LIST_HPP
#define SKYLARK_ENTRY_ENTRY_LIST_HPP

#include <string_view>

#include "entry/context.hpp"
#include "io/http_server.hpp"

namespace skylark::entry {

/*! @brief Answers with addresses, their zones and a life time.
 *  @param shared the entry
 *  @param server that has the exchange
 *  @param key the exchange
 *  @param target path with query; zone=Z puts that zone first */
void answer_entries(context& shared, io::http_server& server, exchange_id key,
                    std::string_view target);

} // namespace skylark::entry

#endif
