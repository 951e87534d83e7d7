// One structured log line: a word and key=value pairs.
#include "entry/log_line.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include "core/foreign_text.hpp"

namespace skylark::entry {

namespace {
constexpr std::size_t longest_value = 200; // bytes; callers choose some values

bool plain(char c) {
    return c != ' ' && c != '"' && c != '=';
}
} // namespace

log_line& log_line::raw(std::string_view key, std::string_view value) {
    m_text.append(" ").append(key).append("=").append(value);
    return *this;
}

log_line& log_line::add(std::string_view key, std::string_view value) {
    const std::string clean = clean_text(value, longest_value);
    if (!clean.empty() && std::all_of(clean.begin(), clean.end(), plain))
        return raw(key, clean);
    std::string quoted{'"'};
    for (const char c : clean) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        quoted += c;
    }
    return raw(key, quoted + '"');
}

log_line& log_line::add_ms(std::string_view key, duration value) {
    constexpr double us_per_ms = 1000.0;
    std::array<char, 32> text{};
    const int size =
        std::snprintf(text.data(), text.size(), "%.1f",
                      static_cast<double>(value.count()) / us_per_ms);
    return raw(key, {text.data(), static_cast<std::size_t>(size)});
}

} // namespace skylark::entry
