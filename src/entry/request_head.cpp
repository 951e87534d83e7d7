// Builds the heads of requests to upstreams and of answers to callers.
#include "entry/request_head.hpp"

#include <algorithm>
#include <array>

namespace skylark::entry {

namespace {

constexpr std::array<std::string_view, 9> hop_by_hop_headers{
    "connection",        "keep-alive", "proxy-connection",
    "transfer-encoding", "te",         "upgrade",
    "content-length",    "trailer",    "expect"};

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](std::string_view known) {
                           return io::equal_ignoring_case(name, known);
                       });
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    const auto last = text.find_last_not_of(" \t");
    return text.substr(first, last - first + 1);
}

// Whether the Connection header lists the field, which makes it hop-by-hop
// (RFC 9110, section 7.6.1).
bool is_connection_option(std::string_view connection, std::string_view name) {
    while (!connection.empty()) {
        const auto option = connection.substr(0, connection.find(','));
        connection.remove_prefix(
            std::min(connection.size(), option.size() + 1));
        if (io::equal_ignoring_case(trim(option), name))
            return true;
    }
    return false;
}

struct team_field_names {
    std::string_view m_key;
    std::string_view m_team;
};

team_field_names team_fields(const dialect& of) {
    return std::visit(
        [](const auto& kind) {
            return team_field_names{kind.key_field, kind.team_field};
        },
        of);
}

} // namespace

std::string forward_head(const io::request_view& from,
                         const dialect& wire_dialect,
                         const forwarded_team& whose) {
    constexpr std::size_t initial_capacity = 512; // bytes
    const auto connection = io::find_header(from.m_headers, "connection");
    const auto [key_field, team_field] = team_fields(wire_dialect);
    std::string out;
    out.reserve(initial_capacity);
    out.append(from.m_method).append(" ");
    out.append(from.m_path).append(" HTTP/1.1\r\n");
    out.append("Host: ");
    out.append(from.m_host.empty() ? "upstream" : from.m_host).append("\r\n");
    for (const io::header_view& field : from.m_headers) {
        const bool forwarded = std::visit(
            [&](const auto& kind) {
                return kind.forwards_to_upstream(field.m_name);
            },
            wire_dialect);
        if (!forwarded || is_hop_by_hop(field.m_name) ||
            io::equal_ignoring_case(field.m_name, "host") ||
            is_connection_option(connection, field.m_name))
            continue;
        if (whose.m_replaces &&
            (io::equal_ignoring_case(field.m_name, key_field) ||
             io::equal_ignoring_case(field.m_name, team_field)))
            continue;
        out.append(field.m_name).append(": ");
        out.append(field.m_value).append("\r\n");
    }
    if (!whose.m_name.empty())
        out.append(team_field).append(": ").append(whose.m_name) += "\r\n";
    const bool without_body = from.m_body.empty() && (from.m_method == "GET" ||
                                                      from.m_method == "HEAD");
    if (!without_body)
        out += "Content-Length: " + std::to_string(from.m_body.size()) + "\r\n";
    return out;
}

std::string complete_head(std::string_view head, duration left,
                          std::string_view instance,
                          const dialect& wire_dialect) {
    std::string out{head};
    std::visit(
        [&](const auto& kind) {
            kind.append_attempt_headers(out, left, instance);
        },
        wire_dialect);
    out += "\r\n";
    return out;
}

std::vector<io::header> answer_headers(const io::response_head& from,
                                       const dialect& wire_dialect) {
    std::vector<io::header> out;
    out.reserve(from.m_headers.size() + 1);
    const auto connection = io::find_header(from.m_headers, "connection");
    for (const io::header_view& field : from.m_headers) {
        const bool returned = std::visit(
            [&](const auto& kind) {
                return kind.forwards_to_caller(field.m_name);
            },
            wire_dialect);
        if (!returned || is_hop_by_hop(field.m_name) ||
            is_connection_option(connection, field.m_name) ||
            io::equal_ignoring_case(field.m_name, "server") ||
            io::equal_ignoring_case(field.m_name, "date"))
            continue;
        out.push_back({std::string{field.m_name}, std::string{field.m_value}});
    }
    std::visit([&](const auto& kind) { kind.add_answer_headers(out); },
               wire_dialect);
    return out;
}

} // namespace skylark::entry
