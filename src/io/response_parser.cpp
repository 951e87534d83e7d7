// Response parsing with picohttpparser, which libh2o exports without a header.
#include "io/response_parser.hpp"
#include "io/http_status.hpp"

#include <algorithm>
#include <charconv>

#include <sys/types.h>

extern "C" {
// NOLINTBEGIN: names of picohttpparser
struct phr_header {
    const char* name;
    size_t name_len;
    const char* value;
    size_t value_len;
};
// NOLINTEND
struct phr_chunked_decoder;
int phr_parse_response(const char* buffer, size_t length, int* minor_version,
                       int* status, const char** message, size_t* message_len,
                       struct phr_header* headers, size_t* header_count,
                       size_t last_length);
ssize_t phr_decode_chunked(struct phr_chunked_decoder* decoder, char* buffer,
                           size_t* size);
}

namespace skylark::io {

namespace {

constexpr ssize_t incomplete = -2;

bool body_is_absent(int code) {
    return code == status::no_content || code == status::not_modified;
}

} // namespace

parse_state response_parser::read_head(std::string_view input,
                                       response_head& head,
                                       std::size_t& consumed) {
    std::array<phr_header, max_headers> raw;
    std::size_t count = raw.size();
    int minor_version = 0;
    const char* message = nullptr;
    std::size_t message_size = 0;
    const int result = phr_parse_response(
        input.data(), input.size(), &minor_version, &head.m_status, &message,
        &message_size, raw.data(), &count, 0);
    if (result == incomplete)
        return parse_state::more;
    if (result < 0)
        return parse_state::malformed;
    for (std::size_t i = 0; i < count; ++i)
        m_headers[i] = {{raw[i].name, raw[i].name_len},
                        {raw[i].value, raw[i].value_len}};
    head.m_headers = {m_headers.data(), count};
    consumed = static_cast<std::size_t>(result);
    determine_framing(head, minor_version);
    return parse_state::found;
}

void response_parser::determine_framing(response_head& head,
                                        int minor_version) {
    const auto connection = find_header(head.m_headers, "connection");
    m_keep_alive =
        minor_version >= 1 && !equal_ignoring_case(connection, "close");
    const auto coding = find_header(head.m_headers, "transfer-encoding");
    const auto length = find_header(head.m_headers, "content-length");
    m_chunk = {};
    m_chunk.m_consume_trailer = 1;
    m_remaining = 0;
    if (equal_ignoring_case(coding, "chunked")) {
        m_framing = body_framing::chunked;
    } else if (!length.empty() || body_is_absent(head.m_status)) {
        m_framing = body_framing::length;
        std::from_chars(length.data(), length.data() + length.size(),
                        m_remaining);
        head.m_length = m_remaining;
    } else {
        m_framing = body_framing::until_close;
        m_keep_alive = false;
        head.m_framed = false;
    }
}

parse_state response_parser::read_body(std::span<char> input, std::size_t& size,
                                       std::size_t& rest) {
    rest = 0;
    size = input.size();
    switch (m_framing) {
    case body_framing::until_close:
        return parse_state::more;
    case body_framing::length:
        size = std::min<std::uint64_t>(size, m_remaining);
        m_remaining -= size;
        rest = input.size() - size;
        return m_remaining == 0 ? parse_state::found : parse_state::more;
    case body_framing::chunked:
        break;
    }
    auto* decoder = reinterpret_cast<phr_chunked_decoder*>(&m_chunk);
    const ssize_t result = phr_decode_chunked(decoder, input.data(), &size);
    if (result == incomplete)
        return parse_state::more;
    if (result < 0)
        return parse_state::malformed;
    rest = static_cast<std::size_t>(result);
    return parse_state::found;
}

bool equal_ignoring_case(std::string_view left, std::string_view right) {
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char a, char b) { return lower(a) == lower(b); });
}

std::string_view find_header(std::span<const header_view> headers,
                             std::string_view name) {
    for (const header_view& field : headers)
        if (equal_ignoring_case(field.m_name, name))
            return field.m_value;
    return {};
}

} // namespace skylark::io
