// Base64 with padding, by OpenSSL.
#ifndef SKYLARK_STORE_BASE64_HPP
#define SKYLARK_STORE_BASE64_HPP

#include <string>
#include <string_view>

namespace skylark::store {

/*! @brief Encodes bytes as base64 text with padding. */
std::string encode_base64(std::string_view bytes);

/*! @brief Decodes base64 text with padding.
 *  @throw std::invalid_argument when the text is no base64 */
std::string decode_base64(std::string_view text);

} // namespace skylark::store

#endif
