// JSON from and for others: reading and writing it never throws and never
// recurses deeply.
#include "core/json_text.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/foreign_text.hpp"

namespace skylark {

namespace internal {

// Brackets outside of texts that are open at once. nlohmann copies, compares
// and writes a tree by recursion, so it must not become deep.
static std::size_t levels(std::string_view text) {
    std::size_t open = 0;
    std::size_t out = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted && c == '\\')
            ++i;
        else if (c == '"')
            quoted = !quoted;
        else if (!quoted && (c == '[' || c == '{'))
            out = std::max(out, ++open);
        else if (!quoted && (c == ']' || c == '}') && open > 0)
            --open;
    }
    return out;
}

} // namespace internal

parsed<nlohmann::json> parse_json(std::string_view text,
                                  std::string_view place) {
    if (const std::size_t found = internal::levels(text);
        found > most_json_levels)
        return input_error{
            std::string{place}, std::to_string(found) + " levels",
            "JSON of at most " + std::to_string(most_json_levels) + " levels"};
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::parse_error& error) {
        return input_error{std::string{place} + ", byte " +
                               std::to_string(error.byte),
                           "text that is no JSON", "JSON"};
    } catch (const std::exception& error) {
        return input_error{std::string{place}, clean_text(error.what(), 200),
                           "JSON"};
    }
}

std::string json_text(const nlohmann::json& tree, int indent) {
    return tree.dump(indent, ' ', false,
                     nlohmann::json::error_handler_t::replace);
}

std::string json_excerpt(const nlohmann::json& value) {
    constexpr std::size_t longest = 200;
    return clean_text(json_text(value), longest);
}

} // namespace skylark
