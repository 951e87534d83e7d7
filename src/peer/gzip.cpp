// Compression of documents that entries pass on to each other, by zlib.
#include "peer/gzip.hpp"

#include <array>
#include <stdexcept>

#define ZLIB_CONST // its input pointers are to const
#include <zlib.h>

namespace skylark::peer {

namespace {

constexpr int with_gzip_header = 16; // zlib: added to the window's size
constexpr int memory_level = 8;      // zlib's default
constexpr std::size_t piece_bytes = std::size_t{64} << 10U;

const Bytef* input_of(std::string_view bytes) {
    return reinterpret_cast<const Bytef*>(bytes.data());
}

// Runs a step of zlib until it needs no more output.
template <class Step>
int append_output(z_stream& stream, std::string& out, std::size_t limit,
                  Step step) {
    std::array<char, piece_bytes> piece{};
    int code = Z_OK;
    do {
        stream.next_out = reinterpret_cast<Bytef*>(piece.data());
        stream.avail_out = piece.size();
        code = step(stream);
        out.append(piece.data(), piece.size() - stream.avail_out);
    } while (code == Z_OK && stream.avail_out == 0 && out.size() <= limit);
    return code;
}

input_error damaged(std::string_view value) {
    return {"a peer's document", std::string{value}, "a whole gzip member"};
}

} // namespace

std::string gzip(std::string_view text) {
    z_stream stream{};
    // Speed counts: a source compresses while others wait.
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED,
                     MAX_WBITS + with_gzip_header, memory_level,
                     Z_DEFAULT_STRATEGY) != Z_OK)
        throw std::runtime_error{"zlib does not start"};
    stream.next_in = input_of(text);
    stream.avail_in = static_cast<uInt>(text.size());
    std::string out;
    append_output(stream, out, std::string::npos,
                  [](z_stream& of) { return deflate(&of, Z_FINISH); });
    deflateEnd(&stream);
    return out;
}

parsed<std::string> gunzip(std::string_view bytes, std::size_t limit) {
    z_stream stream{};
    if (inflateInit2(&stream, MAX_WBITS + with_gzip_header) != Z_OK)
        throw std::runtime_error{"zlib does not start"};
    stream.next_in = input_of(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string out;
    const int code = append_output(stream, out, limit, [](z_stream& of) {
        return inflate(&of, Z_NO_FLUSH);
    });
    const std::size_t left = stream.avail_in;
    inflateEnd(&stream);
    if (out.size() > limit)
        return input_error{"a peer's document",
                           "over " + std::to_string(limit) + " bytes",
                           "a document"};
    if (code != Z_STREAM_END || left > 0)
        return damaged(std::to_string(bytes.size()) + " bytes, code " +
                       std::to_string(code));
    return out;
}

} // namespace skylark::peer
