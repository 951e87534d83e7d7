// Compression of documents that entries pass on to each other.
#ifndef SKYLARK_PEER_GZIP_HPP
#define SKYLARK_PEER_GZIP_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <skylark/core/error.hpp>

namespace skylark::peer {

/*! @brief Compresses a text into the gzip format (RFC 1952). */
std::string gzip(std::string_view text);

/*! @brief Reads what gzip() writes.
 *  @param bytes the whole of it
 *  @param limit most bytes of the text
 *  @return the text, or an error if the bytes are cut, damaged, followed by
 *  others, or hold more than the limit */
parsed<std::string> gunzip(std::string_view bytes, std::size_t limit);

} // namespace skylark::peer

#endif
