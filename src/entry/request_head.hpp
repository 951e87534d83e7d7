// Builds the heads of requests to upstreams and of answers to callers.
#ifndef SKYLARK_ENTRY_REQUEST_HEAD_HPP
#define SKYLARK_ENTRY_REQUEST_HEAD_HPP

#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/time.hpp>

#include "entry/dialect.hpp"
#include "io/http_message.hpp"

namespace skylark::entry {

/*! @brief What an upstream learns of the caller's team. */
struct forwarded_team {
    //! Whether the document has teams. The caller's key and what it says of its
    //! team are then not forwarded.
    bool m_replaces{};
    std::string_view m_name{}; //!< sent to the upstream; empty: nothing is
};

/*! @brief Builds the part of a forwarded request's head that is the same for
 *  all attempts.
 *  @param from the caller's request
 *  @param wire_dialect interface towards upstreams
 *  @param whose the caller's team
 *  @return request line and end-to-end headers, without hop-by-hop headers,
 *  the headers of an attempt and the blank line */
std::string forward_head(const io::request_view& from,
                         const dialect& wire_dialect,
                         const forwarded_team& whose = {});

/*! @brief Completes the head of a forwarded request for one attempt.
 *  @param head result of forward_head()
 *  @param left time until the deadline
 *  @param instance id of the upstream
 *  @param wire_dialect interface towards upstreams
 *  @return the head with the headers of the attempt and the blank line; the
 *  caller's body follows it */
std::string complete_head(std::string_view head, duration left,
                          std::string_view instance,
                          const dialect& wire_dialect);

/*! @brief Builds the headers of the answer to the caller from an upstream's
 *  response.
 *  @param from head of the response
 *  @param wire_dialect interface towards callers
 *  @return end-to-end headers, without Server and Date */
std::vector<io::header> answer_headers(const io::response_head& from,
                                       const dialect& wire_dialect);

} // namespace skylark::entry

#endif
