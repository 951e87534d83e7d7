// Parses and formats IPv4 addresses with ports.
#include <skylark/core/address.hpp>

#include <charconv>

#include "core/foreign_text.hpp"

namespace skylark {

namespace internal {

// Parses one decimal number up to a limit, inclusive. Returns the end of the
// number, or nullptr if there is none or it exceeds the limit.
static const char* parse_number(const char* first, const char* last,
                                std::uint32_t limit, std::uint32_t& value) {
    const auto [end, code] = std::from_chars(first, last, value);
    if (code != std::errc{} || value > limit)
        return nullptr;
    return end;
}

static bool parse_into(std::string_view text, address& out) {
    constexpr int octet_count = 4;
    constexpr std::uint32_t octet_limit = 255;
    constexpr std::uint32_t port_limit = 65535;
    const char* first = text.data();
    const char* last = first + text.size();
    for (int i = 0; i < octet_count; ++i) {
        std::uint32_t octet{};
        first = parse_number(first, last, octet_limit, octet);
        const char separator = i + 1 < octet_count ? '.' : ':';
        if (!first || first == last || *first != separator)
            return false;
        ++first;
        out.m_ip = (out.m_ip << 8U) | octet;
    }
    std::uint32_t port{};
    first = parse_number(first, last, port_limit, port);
    out.m_port = static_cast<std::uint16_t>(port);
    return first == last;
}

} // namespace internal

std::string address::text() const {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
        out += std::to_string((m_ip >> static_cast<unsigned>(shift)) & 255U);
        out += shift == 0 ? ':' : '.';
    }
    return out + std::to_string(m_port);
}

parsed<address> parse_address(std::string_view text, std::string_view place) {
    constexpr std::size_t longest = 200; // bytes in an error
    address out;
    if (!internal::parse_into(text, out))
        return input_error{std::string{place},
                           '"' + clean_text(text, longest) + '"',
                           "an IPv4 address with port, such as "
                           "\"127.0.0.1:8080\""};
    return out;
}

} // namespace skylark
