// Base64 with padding, by OpenSSL.
#include "store/base64.hpp"

#include <algorithm>
#include <stdexcept>

#include <openssl/evp.h>

namespace skylark::store {

namespace {
constexpr std::size_t group_bytes = 3;
constexpr std::size_t group_characters = 4;
} // namespace

std::string encode_base64(std::string_view bytes) {
    const std::size_t groups = (bytes.size() + group_bytes - 1) / group_bytes;
    std::string out(groups * group_characters + 1, '\0'); // OpenSSL ends by NUL
    const int size =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

namespace {

// OpenSSL skips blanks and takes a padding anywhere.
bool is_base64(std::string_view text) {
    if (text.size() % group_characters != 0)
        return false;
    for (int i = 0; i < 2 && text.ends_with('='); ++i)
        text.remove_suffix(1);
    return std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '+' || c == '/';
    });
}

} // namespace

std::string decode_base64(std::string_view text) {
    if (!is_base64(text))
        throw std::invalid_argument{"text is no base64"};
    std::string out(text.size() / group_characters * group_bytes, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (size < 0)
        throw std::invalid_argument{"text is no base64"};
    // OpenSSL counts the padding as bytes.
    const auto padding = static_cast<std::size_t>(std::count(
        text.end() - std::min<std::ptrdiff_t>(
                         2, static_cast<std::ptrdiff_t>(text.size())),
        text.end(), '='));
    out.resize(static_cast<std::size_t>(size) - padding);
    return out;
}

} // namespace skylark::store
