// Incremental decoder of the chunked transfer coding, RFC 9112, section 7.1.
#ifndef SKYLARK_IO_CHUNKED_DECODER_HPP
#define SKYLARK_IO_CHUNKED_DECODER_HPP

#include <cstddef>
#include <cstdint>
#include <span>

#include "io/parse_state.hpp"

namespace skylark::io {

/*! @brief Removes the chunked coding of one body. Extensions and trailers are
 *  discarded.
 *
 *  picohttpparser's decoder, which libh2o exports, takes any text after the
 *  digits of a chunk size for an extension, so that "0x5" ends a body. */
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
    enum class step : std::uint8_t {
        size,
        after_size,
        size_line_feed,
        extension,
        data,
        data_end,
        data_line_feed,
        trailer_begin,
        trailer,
        last_line_feed
    };

    // One byte that is no data.
    parse_state read(char byte);
    parse_state read_size(char byte);
    parse_state read_size_end(char byte);
    parse_state expect_line_feed(char byte, step next);
    [[nodiscard]] step after_size_line() const {
        return m_left == 0 ? step::trailer_begin : step::data;
    }

    step m_step{step::size};
    bool m_has_digit{};     // of the chunk size being read
    std::uint64_t m_left{}; // data bytes of the chunk that were not yet read
};

} // namespace skylark::io

#endif
