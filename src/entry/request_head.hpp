// Heads of requests to upstreams and of answers to callers.
#ifndef SKYLARK_ENTRY_REQUEST_HEAD_HPP
#define SKYLARK_ENTRY_REQUEST_HEAD_HPP

#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/time.hpp>

#include "entry/dialect.hpp"
#include "io/http_message.hpp"

namespace skylark::entry {

/*! @brief Head of the forwarded request, without the fields of one attempt
 *  and the blank line.
 *  @param from the caller's request
 *  @param speaks the interface towards upstreams
 *  @return request line and headers, hop-by-hop ones left out */
std::string forward_head(const io::request_view& from, const dialect& speaks);

/*! @brief Completes the head of a request for one attempt; the caller's body
 *  follows it.
 *  @param head from forward_head
 *  @param left time until the deadline
 *  @param instance id of the upstream
 *  @param speaks the interface towards upstreams */
std::string complete_head(std::string_view head, duration left,
                          std::string_view instance, const dialect& speaks);

/*! @brief Headers that a caller gets of an upstream's answer. */
std::vector<io::header> answer_headers(const io::response_head& from,
                                       const dialect& speaks);

} // namespace skylark::entry

#endif
