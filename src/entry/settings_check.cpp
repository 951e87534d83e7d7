// Checks of settings that were read from a file.
#include "entry/settings_check.hpp"

#include <string>

namespace skylark::entry {

namespace {

// Longer than any response; with it, no request leaves its zone directly.
constexpr duration most_zone_price = seconds{60};

std::optional<input_error> check_timing(const settings& subject,
                                        std::string_view file) {
    const member_timing& timing = subject.m_timing;
    if (timing.m_hold_down >= timing.m_self_stop + timing.m_report_age)
        return std::nullopt;
    return input_error{std::string{file},
                       "share_hold_down_ms = " +
                           std::to_string(to_ms(timing.m_hold_down)),
                       "at least share_self_stop_ms + 600"};
}

std::optional<input_error> check_zone_price(const settings& subject,
                                            std::string_view file) {
    if (subject.m_zone_price <= most_zone_price)
        return std::nullopt;
    return input_error{std::string{file},
                       "zone_price = " +
                           std::to_string(to_ms(subject.m_zone_price)),
                       "a number of milliseconds up to 60000"};
}

} // namespace

std::optional<input_error> check_values(const settings& subject,
                                        std::string_view file) {
    if (auto error = check_timing(subject, file))
        return error;
    return check_zone_price(subject, file);
}

} // namespace skylark::entry
