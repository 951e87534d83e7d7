/*! @file
 *  Header fields and lookup paths of the native interface. */
#ifndef SKYLARK_ENTRY_NATIVE_DIALECT_HPP
#define SKYLARK_ENTRY_NATIVE_DIALECT_HPP

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <skylark/core/address.hpp>
#include <skylark/verdict/verdict.hpp>

#include "entry/caller_address.hpp"
#include "entry/response_info.hpp"
#include "io/http_message.hpp"

namespace skylark::entry {

inline constexpr std::string_view deadline_header = "Request-Timeout-Ms";
inline constexpr std::string_view verdict_header = "Request-Verdict";
//! With verdict "not-run": address of an entry that owns a slot for the
//! request.
inline constexpr std::string_view other_entry_header = "Try-Entry";
inline constexpr std::string_view load_header = "Upstream-Load";
inline constexpr std::string_view refusal_header = "Upstream-Refused";
inline constexpr std::string_view rest_header = "Retry-After";

/*! @brief Value of the verdict header. */
std::string_view verdict_text(const verdict& of);

/*! @brief Native interface to callers and upstreams. */
struct native_dialect {
    //! Whether a response body that is delimited only by the end of the
    //! connection is forwarded.
    static constexpr bool accepts_close_delimited = false;
    //! Header of requests that holds the caller's key, and nothing else.
    static constexpr std::string_view key_field = "Team-Key";
    //! Header of requests to upstreams that holds the name of the key's team.
    static constexpr std::string_view team_field = "Team";

    /*! @brief Time limit requested by the caller; the header holds
     *  milliseconds.
     *  @return nothing if the header is absent or not an integer of at least 1
     */
    [[nodiscard]] std::optional<duration>
    caller_deadline(const io::request_view& from) const;

    /*! @brief Id that the caller gave the request; empty if it gave none. */
    [[nodiscard]] std::string_view
    request_name(const io::request_view& from) const;

    /*! @brief Whether a header field of the caller is sent to the upstream. */
    [[nodiscard]] bool forwards_to_upstream(std::string_view field) const;

    /*! @brief Appends the header fields of one attempt.
     *  @param out request head to append to
     *  @param left time until the deadline, sent as at least 1 ms
     *  @param instance instance id of the upstream that must answer */
    void append_attempt_headers(std::string& out, duration left,
                                std::string_view instance) const;

    /*! @brief Reads the header fields of a response about its upstream.
     *  @param head response head
     *  @param name id that the caller gave the request */
    [[nodiscard]] response_info read_answer(const io::response_head& head,
                                            std::string_view name) const;

    /*! @brief Reads the response to a health check.
     *  @param head response head
     *  @param body response body, which may hold a load report */
    [[nodiscard]] health_info read_health(const io::response_head& head,
                                          std::string_view body) const;

    /*! @brief Whether a header field of the upstream is sent to the caller. */
    [[nodiscard]] bool forwards_to_caller(std::string_view field) const;

    /*! @brief Adds the header fields of a response forwarded from an upstream.
     */
    void add_answer_headers(std::vector<io::header>& out) const;

    /*! @brief Header fields of a response that the entry itself generates.
     *  @param how whether the request may have run
     *  @param retry_after time after which a retry is useful, if known; sent in
     *  whole seconds, at least 1, and only if the request did not run
     *  @param other_entry caller address of an entry that could take the
     *  request */
    [[nodiscard]] std::vector<io::header>
    refusal_headers(const verdict& how, std::optional<duration> retry_after,
                    std::optional<address> other_entry) const;

    /*! @brief Zone in a lookup of entry addresses; empty if it names none.
     *  @return nothing if the path is not a lookup */
    [[nodiscard]] std::optional<std::string>
    lookup_zone(std::string_view path) const;

    /*! @brief Whether a path is that of the readiness check. */
    [[nodiscard]] bool is_readiness_path(std::string_view path) const;

    /*! @brief Response body of a lookup.
     *  @param addresses entry addresses, best first
     *  @param validity time for which callers may cache them */
    [[nodiscard]] std::string
    lookup_body(std::span<const caller_address> addresses,
                duration validity) const;
};

} // namespace skylark::entry

#endif
