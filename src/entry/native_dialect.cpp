// Header fields and lookup paths of the native interface.
#include "entry/native_dialect.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

#include "core/bounded_ms.hpp"
#include "core/json_text.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
constexpr std::string_view lookup_path = "/entries";
constexpr std::string_view zone_query = "?zone=";
} // namespace

std::string_view verdict_text(const verdict& of) {
    if (std::holds_alternative<answered>(of))
        return "answered";
    return std::holds_alternative<not_run>(of) ? "not-run" : "unknown";
}

std::optional<duration>
native_dialect::caller_deadline(const io::request_view& from) const {
    const auto text = io::find_header(from.m_headers, deadline_header);
    std::int64_t ms = 0;
    const char* last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, ms);
    if (code != std::errc{} || end != last || ms <= 0)
        return std::nullopt;
    return bounded_ms(ms);
}

std::string_view native_dialect::request_name(const io::request_view&) const {
    return {};
}

bool native_dialect::forwards_to_upstream(std::string_view field) const {
    return !io::equal_ignoring_case(field, deadline_header);
}

void native_dialect::append_attempt_headers(std::string& out, duration left,
                                            std::string_view) const {
    out.append(deadline_header).append(": ");
    out += std::to_string(std::max<std::int64_t>(1, to_ms(left)));
    out.append("\r\n");
}

response_info native_dialect::read_answer(const io::response_head& head,
                                          std::string_view) const {
    response_info out;
    const auto report =
        parse_report(io::find_header(head.m_headers, load_header));
    if (report)
        out.m_report = report.value();
    out.m_refused = head.m_status == io::status::unavailable &&
                    !io::find_header(head.m_headers, refusal_header).empty();
    if (out.m_refused)
        read_rest(io::find_header(head.m_headers, rest_header),
                  out.m_availability);
    return out;
}

health_info native_dialect::read_health(const io::response_head& head,
                                        std::string_view body) const {
    health_info out;
    out.m_healthy = head.m_status == io::status::ok;
    const auto report = parse_report(body);
    if (report)
        out.m_report = report.value();
    return out;
}

bool native_dialect::forwards_to_caller(std::string_view field) const {
    return !io::equal_ignoring_case(field, load_header) &&
           !io::equal_ignoring_case(field, verdict_header);
}

void native_dialect::add_answer_headers(std::vector<io::header>& out) const {
    out.push_back({std::string{verdict_header}, "answered"});
}

std::vector<io::header>
native_dialect::refusal_headers(const verdict& how,
                                std::optional<duration> retry_after,
                                std::optional<address> other_entry) const {
    std::vector<io::header> out{
        {std::string{verdict_header}, std::string{verdict_text(how)}},
        {"Content-Type", "text/plain"}};
    if (std::holds_alternative<not_run>(how) && retry_after) {
        const auto whole = std::chrono::ceil<seconds>(*retry_after);
        out.push_back(
            {"Retry-After", std::to_string(std::max<std::int64_t>(
                                1, static_cast<std::int64_t>(whole.count())))});
    }
    if (other_entry)
        out.push_back({std::string{other_entry_header}, other_entry->text()});
    return out;
}

std::optional<std::string>
native_dialect::lookup_zone(std::string_view path) const {
    if (!path.starts_with(lookup_path))
        return std::nullopt;
    const std::string_view rest = path.substr(lookup_path.size());
    if (!rest.empty() && rest.front() != '?')
        return std::nullopt;
    const auto at = rest.find(zone_query);
    return at == std::string_view::npos
               ? std::string{}
               : std::string{rest.substr(at + zone_query.size())};
}

bool native_dialect::is_readiness_path(std::string_view path) const {
    return path == "/readyz";
}

std::string
native_dialect::lookup_body(std::span<const caller_address> addresses,
                            duration validity) const {
    nlohmann::json out{{"ttl_ms", to_ms(validity)},
                       {"entries", nlohmann::json::array()}};
    for (const caller_address& item : addresses)
        out["entries"].push_back(
            {{"address", item.m_address.text()}, {"zone", item.m_zone}});
    return json_text(out) + "\n";
}

} // namespace skylark::entry
