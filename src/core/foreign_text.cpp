// Text that others wrote, made fit for events, tables and log lines.
#include "core/foreign_text.hpp"

#include <algorithm>
#include <cstdint>

namespace skylark {

namespace internal {

struct character {
    std::size_t m_size{}; // bytes; 0: malformed
    std::uint32_t m_code{};
};

// The character at the begin of a text, which is not empty.
static character first_character(std::string_view text) {
    constexpr std::uint32_t most_code = 0x10ffffU;
    constexpr unsigned payload_bits = 6;
    constexpr std::uint32_t payload = 0x3fU;
    const auto lead = static_cast<unsigned char>(text[0]);
    if (lead < 0x80U)
        return {1, lead};
    std::size_t size = 0;
    std::uint32_t least = 0; // a lower code has a shorter form
    std::uint32_t code = 0;
    if ((lead & 0xe0U) == 0xc0U) {
        size = 2;
        least = 0x80U;
        code = lead & 0x1fU;
    } else if ((lead & 0xf0U) == 0xe0U) {
        size = 3;
        least = 0x800U;
        code = lead & 0x0fU;
    } else if ((lead & 0xf8U) == 0xf0U) {
        size = 4;
        least = 0x10000U;
        code = lead & 0x07U;
    }
    if (size == 0 || size > text.size())
        return {};
    for (const char next : text.substr(1, size - 1)) {
        const auto byte = static_cast<unsigned char>(next);
        if ((byte & 0xc0U) != 0x80U)
            return {};
        code = (code << payload_bits) | (byte & payload);
    }
    const bool surrogate = code >= 0xd800U && code <= 0xdfffU;
    if (code < least || code > most_code || surrogate)
        return {};
    return {size, code};
}

static bool is_control(std::uint32_t code) {
    return code < 0x20U || (code >= 0x7fU && code < 0xa0U) || code == 0x2028U ||
           code == 0x2029U; // line and paragraph separator
}

} // namespace internal

bool is_utf8(std::string_view text) {
    while (!text.empty()) {
        const std::size_t size = internal::first_character(text).m_size;
        if (size == 0)
            return false;
        text.remove_prefix(size);
    }
    return true;
}

std::string clean_text(std::string_view text, std::size_t longest) {
    constexpr std::string_view cut = "...";
    std::string out;
    out.reserve(std::min(text.size(), longest));
    while (!text.empty()) {
        const auto [size, code] = internal::first_character(text);
        const bool kept = size > 0 && !internal::is_control(code);
        const auto next = kept ? text.substr(0, size) : std::string_view{"?"};
        if (next.size() > longest - out.size()) {
            out.resize(std::min(out.size(), longest - cut.size()));
            while (!is_utf8(out))
                out.pop_back();
            return out.append(cut);
        }
        out += next;
        text.remove_prefix(std::max<std::size_t>(1, size));
    }
    return out;
}

} // namespace skylark
