// Text form of store positions.
#include <skylark/core/store_position.hpp>

#include "core/parse_number.hpp"

namespace skylark {

std::string text_of(const store_position& position) {
    std::string revision = std::to_string(position.m_revision);
    if (position.m_era == 0)
        return revision;
    return std::to_string(position.m_era) + ':' + revision;
}

std::optional<store_position> parse_position(std::string_view text) {
    if (text.empty())
        return store_position{};
    const auto mark = text.find(':');
    const auto era = mark == std::string_view::npos
                         ? std::optional<std::uint64_t>{0}
                         : parse_number<std::uint64_t>(text.substr(0, mark));
    const auto revision = parse_number<std::uint64_t>(
        mark == std::string_view::npos ? text : text.substr(mark + 1));
    if (!era || !revision)
        return std::nullopt;
    return store_position{*revision, *era};
}

} // namespace skylark
