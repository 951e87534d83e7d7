// Incremental reading of one HTTP/1 response with the parser inside h2o.
#ifndef SKYLARK_IO_RESPONSE_PARSER_HPP
#define SKYLARK_IO_RESPONSE_PARSER_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

#include "io/http_message.hpp"

namespace skylark::io {

/*! @brief What a step of the parser found. */
enum class parse_state : std::uint8_t { more, found, malformed };

/*! @brief How the end of the body is known. */
enum class body_framing : std::uint8_t { length, chunked, until_close };

/*! @brief Reads a response: first its head, then its body piece by piece. */
class response_parser {
public:
    /*! @brief Tries to read the head.
     *  @param input all bytes received so far
     *  @param head gets views into input
     *  @param consumed gets the head's length in bytes
     *  @return found, more when it is not whole, or malformed */
    parse_state read_head(std::string_view input, response_head& head,
                          std::size_t& consumed);

    /*! @brief Decodes body bytes in place.
     *  @param input bytes after the head that were not yet read
     *  @param size gets the number of body bytes now at input's beginning
     *  @param rest gets the number of bytes that follow the response
     *  @return found at the body's end, more before it, or malformed */
    parse_state read_body(std::span<char> input, std::size_t& size,
                          std::size_t& rest);

    /*! @brief Whether the connection's end may end the body. */
    [[nodiscard]] bool ends_with_connection() const {
        return m_framing == body_framing::until_close;
    }

    /*! @brief Whether another request may follow on the connection. */
    [[nodiscard]] bool keeps_connection() const { return m_keep; }

private:
    // Layout that the library's chunked decoder expects.
    struct chunk_state {
        std::size_t m_bytes_left;
        char m_consume_trailer;
        char m_hex_count;
        char m_state;
    };

    void settle_framing(response_head& head, int minor_version);

    static constexpr std::size_t max_headers = 64;
    std::array<header_view, max_headers> m_headers;
    chunk_state m_chunk{};
    body_framing m_framing{body_framing::until_close};
    std::uint64_t m_left{};
    bool m_keep{};
};

} // namespace skylark::io

#endif
