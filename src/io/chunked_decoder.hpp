// Incremental decoder of the chunked transfer coding, RFC 9112, section 7.1.
#ifndef SKYLARK_IO_CHUNKED_DECODER_HPP
#define SKYLARK_IO_CHUNKED_DECODER_HPP

#include <cstddef>
#include <span>

#include "io/parse_state.hpp"

namespace skylark::io {

/*! @brief Removes the chunked coding of one body with picohttpparser's decoder,
 *  which libh2o exports. Extensions and trailers are discarded.
 *
 *  That decoder takes any text after the digits of a chunk size for an
 *  extension, so that "0x5" ends a body; such a size is malformed here. */
class chunked_decoder {
public:
    /*! @brief Decodes body bytes in place.
     *  @param input bytes that were not yet read
     *  @param size gets the number of body bytes now at input's beginning
     *  @param rest gets the number of bytes that follow the body
     *  @return found at the body's end, more before it, or malformed */
    parse_state decode(std::span<char> input, std::size_t& size,
                       std::size_t& rest);

private:
    // Same layout as picohttpparser's phr_chunked_decoder.
    struct native_state {
        std::size_t m_bytes_left;
        char m_consume_trailer;
        char m_hex_count;
        char m_step;
    };

    [[nodiscard]] bool in_data() const;
    // Whether a byte may come next, if it is part of a chunk size's line.
    bool accepts(char byte);

    native_state m_native{0, 1, 0, 0};
    bool m_after_size{}; // only blanks came since the digits of a chunk size
};

} // namespace skylark::io

#endif
