// Numbers of headers, queries and stored texts.
#ifndef SKYLARK_CORE_PARSE_NUMBER_HPP
#define SKYLARK_CORE_PARSE_NUMBER_HPP

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace skylark {

/*! @brief Reads a decimal integer.
 *  @return nothing unless the whole text is a number that Number can hold */
template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number out{};
    const char* last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, out);
    if (code != std::errc{} || end != last)
        return std::nullopt;
    return out;
}

} // namespace skylark

#endif
