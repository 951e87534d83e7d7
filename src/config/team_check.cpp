// Checks of the document's teams. Errors never contain a key or a digest.
#include "config/team_check.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>

#include "core/foreign_text.hpp"

namespace skylark::internal {

static constexpr std::size_t digest_length = 64; // hexadecimal digits
static constexpr std::size_t longest_name = 256; // bytes
static constexpr double largest_number = 1e9;

static bool is_control(char c) {
    constexpr unsigned char deletion = 0x7f;
    const auto code = static_cast<unsigned char>(c);
    return code < ' ' || code == deletion;
}

// The upstream gets the name in a header field, so it must not end the line.
static bool is_field_value(std::string_view text) {
    return !text.empty() && text.size() <= longest_name &&
           text.front() != ' ' && text.back() != ' ' && is_utf8(text) &&
           std::none_of(text.begin(), text.end(), is_control);
}

static bool is_digest(std::string_view text) {
    constexpr std::string_view digits = "0123456789abcdef";
    return text.size() == digest_length &&
           text.find_first_not_of(digits) == std::string_view::npos;
}

// The text in place of a digest may be the key itself.
static input_error hidden_violation(const std::string& place,
                                    std::string expected) {
    return {place, "a text that is not shown", std::move(expected)};
}

static parsed<void> check_number(double value, const std::string& place) {
    if (!(value >= 0.0 && value <= largest_number))
        return input_error{place, std::to_string(value),
                           "a number from 0 to 1000000000"};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

static parsed<void> check_team(const team& subject, const std::string& place,
                               std::set<std::string_view>& digests) {
    for (std::size_t i = 0; i < subject.m_key_digests.size(); ++i) {
        const std::string& digest = subject.m_key_digests[i];
        const std::string at = place + "/key_digests/" + std::to_string(i);
        if (!is_digest(digest))
            return hidden_violation(at, "64 lowercase hexadecimal digits");
        if (!digests.insert(digest).second)
            return hidden_violation(at, "a key that is used once");
    }
    BOOST_OUTCOME_TRYV(
        check_number(subject.m_rate_per_s, place + "/rate_per_s"));
    return check_number(subject.m_burst, place + "/burst");
}

parsed<void> check_teams(std::span<const team> teams) {
    std::set<std::string_view> names;
    std::set<std::string_view> digests;
    for (std::size_t i = 0; i < teams.size(); ++i) {
        const std::string place = "document/teams/" + std::to_string(i);
        const std::string& name = teams[i].m_name;
        if (!is_field_value(name))
            return input_error{place + "/name",
                               '"' + clean_text(name, longest_name) + '"',
                               "a name of 1 to 256 bytes without control "
                               "characters or blanks at its ends"};
        if (!names.insert(name).second)
            return input_error{place + "/name", '"' + name + '"',
                               "a name used once"};
        BOOST_OUTCOME_TRYV(check_team(teams[i], place, digests));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace skylark::internal
