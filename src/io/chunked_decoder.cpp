// Chunked transfer coding with picohttpparser, which libh2o exports without a
// header.
#include "io/chunked_decoder.hpp"

#include <algorithm>
#include <cstring>

#include <sys/types.h>

extern "C" {
// NOLINTBEGIN: names of picohttpparser
struct phr_chunked_decoder;
ssize_t phr_decode_chunked(struct phr_chunked_decoder* decoder, char* buffer,
                           size_t* size);
// NOLINTEND
}

namespace skylark::io {

namespace {

constexpr ssize_t incomplete = -2;

// Values of m_step.
constexpr char step_size = 0;
constexpr char step_extension = 1;
constexpr char step_data = 2;

bool is_hex_digit(char byte) {
    return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'f') ||
           (byte >= 'A' && byte <= 'F');
}

bool is_blank(char byte) {
    return byte == ' ' || byte == '\t';
}

bool is_line_end(char byte) {
    return byte == '\r' || byte == '\n';
}

} // namespace

bool chunked_decoder::in_data() const {
    return m_native.m_step == step_data;
}

bool chunked_decoder::accepts(char byte) {
    if (m_native.m_step == step_size && !is_hex_digit(byte))
        m_after_size = true;
    if (m_native.m_step > step_extension || !m_after_size)
        return true;
    m_after_size = is_blank(byte);
    return m_after_size || byte == ';' || is_line_end(byte);
}

parse_state chunked_decoder::decode(std::span<char> input, std::size_t& size,
                                    std::size_t& rest) {
    size = 0;
    rest = 0;
    auto* decoder = reinterpret_cast<phr_chunked_decoder*>(&m_native);
    for (std::size_t at = 0; at < input.size();) {
        const std::size_t left = input.size() - at;
        const std::size_t count =
            in_data() ? std::min(m_native.m_bytes_left, left) : 1;
        if (!in_data() && !accepts(input[at]))
            return parse_state::malformed;
        std::size_t decoded = count;
        const ssize_t result =
            phr_decode_chunked(decoder, &input[at], &decoded);
        if (result != incomplete && result < 0)
            return parse_state::malformed;
        std::memmove(&input[size], &input[at], decoded);
        size += decoded;
        at += count;
        if (result >= 0) {
            rest = input.size() - at;
            return parse_state::found;
        }
    }
    return parse_state::more;
}

} // namespace skylark::io
