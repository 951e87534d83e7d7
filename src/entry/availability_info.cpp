// What an upstream says of its availability in one response.
#include "entry/availability_info.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "entry/journal.hpp"
#include "entry/upstream.hpp"

namespace skylark::entry {

namespace {
// Keeps the conversion in range; far beyond availability::max_rest.
constexpr double max_seconds = 1e9;

std::string text_of(duration rest) {
    std::string out =
        "asked for " + std::to_string(to_ms(rest)) + " ms of rest";
    if (rest > availability::max_rest)
        out += ", gets " + std::to_string(to_ms(availability::max_rest));
    return out;
}
} // namespace

void read_rest(std::string_view field, availability_info& out) {
    if (field.empty())
        return;
    double value = 0.0;
    const char* last = field.data() + field.size();
    const auto [end, code] =
        std::from_chars(field.data(), last, value, std::chars_format::fixed);
    // The parser accepts "inf" and "nan".
    out.m_malformed_rest = code != std::errc{} || end != last ||
                           !std::isfinite(value) || value < 0;
    if (!out.m_malformed_rest)
        out.m_rest = std::chrono::ceil<duration>(
            std::chrono::duration<double>{std::min(value, max_seconds)});
}

void apply_availability(const availability_info& said, upstream& from,
                        journal& events, time_point now) {
    const auto note = [&](const std::string& what) {
        events.note(event_kind::upstream, from.m_instance, what);
    };
    if (said.m_leaving && from.m_availability.leave())
        note("said that it leaves");
    if (said.m_rest && from.m_availability.rest(now, *said.m_rest))
        note(text_of(*said.m_rest));
    if (said.m_malformed_rest && !from.m_malformed_rest) {
        from.m_malformed_rest = true;
        note("asked for a rest without a readable time");
    }
}

} // namespace skylark::entry
