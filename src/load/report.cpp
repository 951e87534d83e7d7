// Parses and serializes load reports.
#include <skylark/load/report.hpp>

#include <algorithm>
#include <charconv>

namespace skylark {

namespace internal {

template <class Number>
static bool read_number(std::string_view text, Number& out) {
    const char* last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, out);
    return code == std::errc{} && end == last;
}

static bool read_state(std::string_view text, upstream_state& out) {
    for (const auto state : {upstream_state::cold, upstream_state::warm,
                             upstream_state::draining}) {
        if (text == name_of(state)) {
            out = state;
            return true;
        }
    }
    return false;
}

static bool read_field(std::string_view key, std::string_view value,
                       load_report& out) {
    if (key == "inc")
        return read_number(value, out.m_incarnation);
    if (key == "state")
        return read_state(value, out.m_state);
    if (key == "used")
        return read_number(value, out.m_used);
    if (key == "slots")
        return read_number(value, out.m_slots);
    if (key == "queue")
        return read_number(value, out.m_queue);
    if (key == "slow")
        return read_number(value, out.m_slowness);
    return true; // ignore fields added by later versions
}

} // namespace internal

load_report with_more(const load_report& from, std::uint32_t requests) {
    load_report out = from;
    const std::uint32_t free =
        from.m_slots - std::min(from.m_slots, from.m_used);
    const std::uint32_t started = std::min(free, requests);
    out.m_used += started;
    out.m_queue += requests - started;
    return out;
}

std::string_view name_of(upstream_state state) {
    switch (state) {
    case upstream_state::warm:
        return "warm";
    case upstream_state::draining:
        return "draining";
    case upstream_state::cold:
        break;
    }
    return "cold";
}

parsed<load_report> parse_report(std::string_view text) {
    load_report out;
    std::string_view rest = text;
    while (!rest.empty()) {
        const auto field = rest.substr(0, rest.find(';'));
        rest.remove_prefix(std::min(rest.size(), field.size() + 1));
        const auto equals = field.find('=');
        const bool good = equals != std::string_view::npos &&
                          internal::read_field(field.substr(0, equals),
                                               field.substr(equals + 1), out);
        if (!good)
            return input_error{"load report", '"' + std::string{field} + '"',
                               "inc=N, state=cold|warm|draining, used=N, "
                               "slots=N or queue=N"};
    }
    if (out.m_slots == 0)
        return input_error{"load report", '"' + std::string{text} + '"',
                           "slots=N with N at least 1"};
    return out;
}

std::string format_report(const load_report& report) {
    return "inc=" + std::to_string(report.m_incarnation) +
           ";state=" + std::string{name_of(report.m_state)} +
           ";used=" + std::to_string(report.m_used) +
           ";slots=" + std::to_string(report.m_slots) +
           ";queue=" + std::to_string(report.m_queue) +
           ";slow=" + std::to_string(report.m_slowness);
}

} // namespace skylark
