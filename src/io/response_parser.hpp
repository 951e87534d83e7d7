// Incremental parser of one HTTP/1 response, on picohttpparser in libh2o.
#ifndef SKYLARK_IO_RESPONSE_PARSER_HPP
#define SKYLARK_IO_RESPONSE_PARSER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "io/chunked_decoder.hpp"
#include "io/http_message.hpp"
#include "io/parse_state.hpp"

namespace skylark::io {

/*! @brief How the end of the body is determined. */
enum class body_framing : std::uint8_t { none, length, chunked, until_close };

/*! @brief Parses a response: first its head, then its body incrementally. */
class response_parser {
public:
    /*! @brief Tries to read the head.
     *  @param input all bytes received so far; grows from call to call until
     *  the result is not more
     *  @param head_only whether the request's method was HEAD
     *  @param head gets views into input
     *  @param consumed gets the head's length in bytes
     *  @return found, more when it is incomplete, or malformed, also when its
     *  fields leave the end of the body uncertain (RFC 9112, section 6) */
    parse_state read_head(std::string_view input, bool head_only,
                          response_head& head, std::size_t& consumed);

    /*! @brief Decodes body bytes in place.
     *  @param input bytes after the head that were not yet read
     *  @param size gets the number of body bytes now at input's beginning
     *  @param rest gets the number of bytes that follow the response
     *  @return found at the body's end, more before it, or malformed */
    parse_state read_body(std::span<char> input, std::size_t& size,
                          std::size_t& rest);

    /*! @brief Whether bytes of a body follow the head. */
    [[nodiscard]] bool expects_body() const {
        return m_framing != body_framing::none &&
               (m_framing != body_framing::length || m_remaining > 0);
    }

    /*! @brief Whether closing the connection marks the end of the body. */
    [[nodiscard]] bool ends_with_connection() const {
        return m_framing == body_framing::until_close;
    }

    /*! @brief Whether another request may follow on the connection. */
    [[nodiscard]] bool keeps_alive() const { return m_keep_alive; }

private:
    // False when the framing is uncertain.
    bool determine_framing(response_head& head, bool head_only,
                           int minor_version);

    // Size from which on input of the head is not passed over.
    std::size_t begin_of_new(std::size_t size);

    static constexpr std::size_t max_headers = 64;
    std::array<header_view, max_headers> m_headers;
    chunked_decoder m_chunks;
    body_framing m_framing{body_framing::until_close};
    std::uint64_t m_remaining{}; // bytes of a body of known length
    std::size_t m_seen{};        // input of a head that is incomplete
    std::size_t m_parsed{};      // the same, when all of it was parsed last
    bool m_keep_alive{};
};

} // namespace skylark::io

#endif
