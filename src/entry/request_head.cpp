// Heads of requests to upstreams and of answers to callers.
#include "entry/request_head.hpp"

#include <algorithm>
#include <array>
#include <charconv>

namespace skylark::entry {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop{
    "connection",        "keep-alive", "proxy-connection",
    "transfer-encoding", "te",         "upgrade",
    "content-length",    "trailer",    "expect"};

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(
        hop_by_hop.begin(), hop_by_hop.end(),
        [&](std::string_view known) { return io::same_name(name, known); });
}

} // namespace

std::string forward_head(const io::request_view& from) {
    constexpr std::size_t typical_size = 512; // bytes
    std::string out;
    out.reserve(typical_size);
    out.append(from.m_method).append(" ");
    out.append(from.m_path).append(" HTTP/1.1\r\n");
    for (const io::header_view& field : from.m_headers) {
        if (is_hop_by_hop(field.m_name) ||
            io::same_name(field.m_name, deadline_header))
            continue;
        out.append(field.m_name).append(": ");
        out.append(field.m_value).append("\r\n");
    }
    if (io::find_header(from.m_headers, "host").empty())
        out += "Host: upstream\r\n"; // h2o takes the header out
    const bool without_body = from.m_body.empty() && (from.m_method == "GET" ||
                                                      from.m_method == "HEAD");
    if (!without_body)
        out += "Content-Length: " + std::to_string(from.m_body.size()) + "\r\n";
    return out;
}

std::string complete_request(std::string_view head, std::string_view body,
                             duration left) {
    std::string out{head};
    out.append(deadline_header).append(": ");
    out += std::to_string(std::max<std::int64_t>(1, to_ms(left)));
    out += "\r\n\r\n";
    out.append(body);
    return out;
}

std::vector<io::header> answer_headers(const io::response_head& from) {
    std::vector<io::header> out;
    out.reserve(from.m_headers.size() + 1);
    for (const io::header_view& field : from.m_headers) {
        if (is_hop_by_hop(field.m_name) ||
            io::same_name(field.m_name, load_header) ||
            io::same_name(field.m_name, verdict_header) ||
            io::same_name(field.m_name, "server") ||
            io::same_name(field.m_name, "date"))
            continue;
        out.push_back({std::string{field.m_name}, std::string{field.m_value}});
    }
    out.push_back({std::string{verdict_header}, "answered"});
    return out;
}

std::optional<duration> wanted_deadline(const io::request_view& from) {
    const auto text = io::find_header(from.m_headers, deadline_header);
    std::int64_t ms = 0;
    const char* last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, ms);
    if (code != std::errc{} || end != last || ms <= 0)
        return std::nullopt;
    return milliseconds{ms};
}

std::string_view verdict_text(const verdict& of) {
    if (std::holds_alternative<answered>(of))
        return "answered";
    return std::holds_alternative<not_run>(of) ? "not-run" : "unknown";
}

} // namespace skylark::entry
