// SHA-256 digests, by libcrypto.
#include "io/sha256.hpp"

#include <array>

#include <openssl/sha.h>

namespace skylark::io {

std::string sha256_digest(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned half_byte = 4;
    constexpr unsigned low_half = 0xfU;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> bytes{};
    // The cast is between character types of one size.
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
           bytes.data());
    std::string out;
    out.reserve(2 * bytes.size());
    for (const unsigned char byte : bytes) {
        out.push_back(digits[byte >> half_byte]);
        out.push_back(digits[byte & low_half]);
    }
    return out;
}

} // namespace skylark::io
