// The product's own header fields and lookups.
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
//! With "not-run": address of an entry that owns a slot for the request.
inline constexpr std::string_view other_entry_header = "Try-Entry";
inline constexpr std::string_view load_header = "Upstream-Load";
inline constexpr std::string_view refusal_header = "Upstream-Refused";

/*! @brief Value of the verdict header. */
std::string_view verdict_text(const verdict& of);

/*! @brief What callers and upstreams of the product's own interface say. */
struct native_dialect {
    //! Whether a body that only the connection's end delimits is passed on.
    static constexpr bool trusts_close = false;

    /*! @brief Deadline that the caller asked for.
     *  @return none when the header is absent or no number from 1 up */
    [[nodiscard]] std::optional<duration>
    caller_deadline(const io::request_view& from) const;

    /*! @brief Name that the caller gave the request, empty without one. */
    [[nodiscard]] std::string_view
    request_name(const io::request_view& from) const;

    /*! @brief Whether a caller's header field goes to the upstream. */
    [[nodiscard]] bool forwards(std::string_view field) const;

    /*! @brief Appends the fields of one attempt.
     *  @param out the head so far
     *  @param left time until the deadline
     *  @param instance id of the upstream that must answer */
    void write_attempt(std::string& out, duration left,
                       std::string_view instance) const;

    /*! @brief Reads what an answer says of its upstream.
     *  @param head the answer's head
     *  @param name the request's name */
    [[nodiscard]] response_info read_answer(const io::response_head& head,
                                            std::string_view name) const;

    /*! @brief Reads the answer to a health check. */
    [[nodiscard]] health_info read_health(const io::response_head& head,
                                          std::string_view body) const;

    /*! @brief Whether an upstream's header field goes to the caller. */
    [[nodiscard]] bool passes_back(std::string_view field) const;

    /*! @brief Adds the fields that mark an upstream's answer. */
    void mark_answered(std::vector<io::header>& out) const;

    /*! @brief Fields of an answer that the entry gives itself.
     *  @param how whether the request may have run
     *  @param come_back when a further try makes sense, if that is known
     *  @param elsewhere an entry that could take the request */
    [[nodiscard]] std::vector<io::header>
    refusal(const verdict& how, std::optional<duration> come_back,
            std::optional<address> elsewhere) const;

    /*! @brief Zone of a caller that asks for addresses; none when the path
     *  is no such question. */
    [[nodiscard]] std::optional<std::string>
    lookup_zone(std::string_view path) const;

    /*! @brief Whether a path asks if this entry takes requests. */
    [[nodiscard]] bool asks_ready(std::string_view path) const;

    /*! @brief Body of the answer to a lookup.
     *  @param addresses of entries, best first
     *  @param validity how long callers may keep it */
    [[nodiscard]] std::string
    lookup_answer(std::span<const caller_address> addresses,
                  duration validity) const;
};

} // namespace skylark::entry

#endif
