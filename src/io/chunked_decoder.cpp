// Chunked transfer coding.
#include "io/chunked_decoder.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>

namespace skylark::io {

parse_state chunked_decoder::decode(std::span<char> input, std::size_t& size,
                                    std::size_t& rest) {
    size = 0;
    rest = 0;
    std::size_t at = 0;
    while (at < input.size()) {
        if (m_step == step::data) {
            const std::size_t count =
                std::min<std::uint64_t>(m_left, input.size() - at);
            std::memmove(&input[size], &input[at], count);
            size += count;
            at += count;
            m_left -= count;
            if (m_left == 0)
                m_step = step::data_end;
            continue;
        }
        const parse_state state = read(input[at++]);
        rest = input.size() - at;
        if (state != parse_state::more)
            return state;
    }
    rest = 0;
    return parse_state::more;
}

parse_state chunked_decoder::read(char byte) {
    switch (m_step) {
    case step::size:
        return read_size(byte);
    case step::after_size:
        return read_size_end(byte);
    case step::size_line_feed:
        return expect_line_feed(byte, after_size_line());
    case step::extension:
        if (byte == '\n')
            m_step = after_size_line();
        return parse_state::more;
    case step::data_end:
        if (byte != '\r')
            return expect_line_feed(byte, step::size);
        m_step = step::data_line_feed;
        return parse_state::more;
    case step::data_line_feed:
        return expect_line_feed(byte, step::size);
    case step::trailer_begin:
        if (byte == '\n')
            return parse_state::found;
        m_step = byte == '\r' ? step::last_line_feed : step::trailer;
        return parse_state::more;
    case step::trailer:
        if (byte == '\n')
            m_step = step::trailer_begin;
        return parse_state::more;
    case step::last_line_feed:
        return byte == '\n' ? parse_state::found : parse_state::malformed;
    case step::data:
        break;
    }
    return parse_state::malformed;
}

parse_state chunked_decoder::read_size(char byte) {
    constexpr unsigned base = 16;
    unsigned digit = 0;
    if (std::from_chars(&byte, &byte + 1, digit, base).ec != std::errc{})
        return m_has_digit ? read_size_end(byte) : parse_state::malformed;
    if (m_left > std::numeric_limits<std::uint64_t>::max() / base)
        return parse_state::malformed;
    m_left = m_left * base + digit;
    m_has_digit = true;
    return parse_state::more;
}

parse_state chunked_decoder::read_size_end(char byte) {
    m_has_digit = false;
    switch (byte) {
    case ' ':
    case '\t':
        m_step = step::after_size;
        return parse_state::more;
    case ';':
        m_step = step::extension;
        return parse_state::more;
    case '\r':
        m_step = step::size_line_feed;
        return parse_state::more;
    case '\n':
        m_step = after_size_line();
        return parse_state::more;
    default:
        return parse_state::malformed;
    }
}

parse_state chunked_decoder::expect_line_feed(char byte, step next) {
    if (byte != '\n')
        return parse_state::malformed;
    m_step = next;
    return parse_state::more;
}

} // namespace skylark::io
