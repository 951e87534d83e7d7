// Head of a request without a body, with the parser that libh2o exports.
#include "io/bodiless_request.hpp"

#include <algorithm>
#include <array>
#include <span>

#include "io/picohttpparser.hpp"

namespace skylark::io {

namespace {

constexpr int incomplete = -2;
// As in h2o, which does not export its limit.
constexpr std::size_t max_headers = 100;

// Fields whose effect on h2o is not repeated here.
constexpr std::array<std::string_view, 5> decisive_fields{
    "content-length", "transfer-encoding", "expect", "upgrade",
    "http2-settings"};

char lower(char from) {
    return from >= 'A' && from <= 'Z' ? static_cast<char>(from - 'A' + 'a')
                                      : from;
}

bool is_decisive(const header_view& field) {
    const auto place =
        std::find(decisive_fields.begin(), decisive_fields.end(), field.m_name);
    const bool ends_connection =
        field.m_name == "connection" &&
        !equal_ignoring_case(field.m_value, "keep-alive");
    return place != decisive_fields.end() || ends_connection;
}

} // namespace

bool bodiless_request::add_field(header_view field) {
    if (field.m_name.empty() || is_decisive(field))
        return false;
    if (field.m_name != "host") {
        m_headers.push_back(field);
        return true;
    }
    if (!m_host.empty())
        return false;
    m_host = field.m_value;
    return !m_host.empty();
}

parse_state bodiless_request::read(std::string_view input,
                                   std::size_t head_limit) {
    const char* method = nullptr;
    const char* path = nullptr;
    std::size_t method_size = 0;
    std::size_t path_size = 0;
    int minor_version = 0;
    std::array<phr_header, max_headers> fields{};
    std::size_t count = fields.size();
    const int size = phr_parse_request(
        input.data(), input.size(), &method, &method_size, &path, &path_size,
        &minor_version, fields.data(), &count, 0);
    if (size == incomplete)
        return parse_state::more;
    if (size <= 0 || minor_version != 1)
        return parse_state::malformed;
    m_size = static_cast<std::size_t>(size);
    m_text.assign(input.substr(0, m_size));
    // The same bytes in the copy.
    const auto copied = [&](const char* from, std::size_t length) {
        return std::string_view{m_text}.substr(
            static_cast<std::size_t>(from - input.data()), length);
    };
    m_method = copied(method, method_size);
    m_path = copied(path, path_size);
    m_host = {};
    m_headers.clear();
    std::size_t total = 0;
    bool certain =
        (m_method == "GET" || m_method == "HEAD") && m_path.starts_with('/');
    for (const phr_header& field : std::span{fields}.first(count)) {
        // A folded line has no name.
        if (!certain || field.name == nullptr)
            return parse_state::malformed;
        const auto begin = m_text.begin() + (field.name - input.data());
        std::transform(begin,
                       begin + static_cast<std::ptrdiff_t>(field.name_len),
                       begin, lower);
        certain = add_field({copied(field.name, field.name_len),
                             copied(field.value, field.value_len)});
        total += field.name_len + field.value_len;
    }
    return certain && !m_host.empty() && total <= head_limit
               ? parse_state::found
               : parse_state::malformed;
}

request_view bodiless_request::view() const {
    return {m_method, m_path, {}, m_headers, m_host};
}

} // namespace skylark::io
