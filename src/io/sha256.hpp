// SHA-256 digests, by libcrypto.
#ifndef SKYLARK_IO_SHA256_HPP
#define SKYLARK_IO_SHA256_HPP

#include <string>
#include <string_view>

namespace skylark::io {

/*! @brief SHA-256 digest of a text.
 *  @param text any bytes
 *  @return 64 lowercase hexadecimal digits */
std::string sha256_digest(std::string_view text);

} // namespace skylark::io

#endif
