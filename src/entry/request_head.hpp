// Heads of requests to upstreams and of answers to callers.
#ifndef SKYLARK_ENTRY_REQUEST_HEAD_HPP
#define SKYLARK_ENTRY_REQUEST_HEAD_HPP

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/time.hpp>
#include <skylark/verdict/verdict.hpp>

#include "io/http_message.hpp"

namespace skylark::entry {

inline constexpr std::string_view deadline_header = "Request-Timeout-Ms";
inline constexpr std::string_view verdict_header = "Request-Verdict";
//! With "not-run": address of an entry that owns a slot for the request.
inline constexpr std::string_view other_entry_header = "Try-Entry";
inline constexpr std::string_view load_header = "Upstream-Load";
inline constexpr std::string_view refusal_header = "Upstream-Refused";

/*! @brief Head of the forwarded request, without deadline and blank line.
 *  @param from the caller's request
 *  @return request line and headers, hop-by-hop ones left out */
std::string forward_head(const io::request_view& from);

/*! @brief Completes a request for one attempt.
 *  @param head from forward_head
 *  @param body the caller's body
 *  @param left time until the deadline */
std::string complete_request(std::string_view head, std::string_view body,
                             duration left);

/*! @brief Headers that a caller gets of an upstream's answer. */
std::vector<io::header> answer_headers(const io::response_head& from);

/*! @brief Deadline that the caller asked for.
 *  @return none when the header is absent or no number from 1 up */
std::optional<duration> wanted_deadline(const io::request_view& from);

/*! @brief Value of the verdict header. */
std::string_view verdict_text(const verdict& of);

} // namespace skylark::entry

#endif
