// Response parsing with picohttpparser, which libh2o exports without a header.
#include "io/response_parser.hpp"
#include "io/http_status.hpp"
#include "io/picohttpparser.hpp"

#include <algorithm>
#include <charconv>

namespace skylark::io {

namespace {

constexpr int incomplete = -2;

enum class field_state : std::uint8_t { absent, valid, invalid };

constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599; // RFC 9110, section 15

bool body_is_absent(int code) {
    return code < first_final_status || code == status::no_content ||
           code == status::not_modified;
}

std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Visits each item of a list-based field, over all lines of that name.
template <class Visit>
void visit_items(std::span<const header_view> headers, std::string_view name,
                 Visit visit) {
    for (const header_view& field : headers) {
        if (!equal_ignoring_case(field.m_name, name))
            continue;
        std::string_view rest = field.m_value;
        for (auto comma = rest.find(','); comma != std::string_view::npos;
             comma = rest.find(',')) {
            visit(trim(rest.substr(0, comma)));
            rest.remove_prefix(comma + 1);
        }
        visit(trim(rest));
    }
}

bool says_close(std::span<const header_view> headers) {
    bool out = false;
    visit_items(headers, "connection", [&](std::string_view option) {
        out |= equal_ignoring_case(option, "close");
    });
    return out;
}

// Equal repetitions of a length count as one.
field_state read_length(std::span<const header_view> headers,
                        std::uint64_t& length) {
    field_state out = field_state::absent;
    visit_items(headers, "content-length", [&](std::string_view item) {
        std::uint64_t value = 0;
        const char* last = item.data() + item.size();
        const auto [end, code] = std::from_chars(item.data(), last, value);
        const bool number = code == std::errc{} && end == last;
        const bool differs = out == field_state::valid && value != length;
        if (!number || differs || out == field_state::invalid)
            out = field_state::invalid;
        else
            out = field_state::valid;
        length = value;
    });
    return out;
}

// The body is decoded only if "chunked" is its one coding.
field_state read_coding(std::span<const header_view> headers) {
    field_state out = field_state::absent;
    visit_items(headers, "transfer-encoding", [&](std::string_view coding) {
        const bool known = out == field_state::absent &&
                           equal_ignoring_case(coding, "chunked");
        out = known ? field_state::valid : field_state::invalid;
    });
    return out;
}

} // namespace

// A head that arrives in small pieces is parsed again when it has doubled;
// between, picohttpparser only looks for its end in what is new. Otherwise the
// work would grow with the square of its size.
std::size_t response_parser::begin_of_new(std::size_t size) {
    if (size >= 2 * m_parsed) {
        m_parsed = size;
        return 0;
    }
    return m_seen;
}

parse_state response_parser::read_head(std::string_view input, bool head_only,
                                       response_head& head,
                                       std::size_t& consumed) {
    std::array<phr_header, max_headers> raw;
    std::size_t count = raw.size();
    int minor_version = 0;
    const char* message = nullptr;
    std::size_t message_size = 0;
    const int result = phr_parse_response(
        input.data(), input.size(), &minor_version, &head.m_status, &message,
        &message_size, raw.data(), &count, begin_of_new(input.size()));
    if (result == incomplete) {
        m_seen = input.size();
        return parse_state::more;
    }
    m_seen = 0;
    m_parsed = 0;
    if (result < 0 || head.m_status < first_status ||
        head.m_status > last_status ||
        head.m_status == status::switching_protocols)
        return parse_state::malformed;
    for (std::size_t i = 0; i < count; ++i) {
        // A field without a name continues the line before it, which RFC 9112,
        // section 5.2, has proxies discard or replace.
        if (raw[i].name_len == 0)
            return parse_state::malformed;
        m_headers[i] = {{raw[i].name, raw[i].name_len},
                        {raw[i].value, raw[i].value_len}};
    }
    head.m_headers = {m_headers.data(), count};
    consumed = static_cast<std::size_t>(result);
    return determine_framing(head, head_only, minor_version)
               ? parse_state::found
               : parse_state::malformed;
}

bool response_parser::determine_framing(response_head& head, bool head_only,
                                        int minor_version) {
    m_keep_alive = minor_version >= 1 && !says_close(head.m_headers);
    m_chunks = {};
    m_remaining = 0;
    const field_state coding = read_coding(head.m_headers);
    const field_state length = read_length(head.m_headers, m_remaining);
    const bool is_chunked = coding != field_state::absent;
    if (head_only || body_is_absent(head.m_status)) {
        m_framing = body_framing::none;
        if (!head_only)
            head.m_length = 0;
        else if (length == field_state::valid && !is_chunked)
            head.m_length = m_remaining;
        return true;
    }
    if (coding == field_state::invalid || length == field_state::invalid ||
        (is_chunked && (length != field_state::absent || minor_version < 1)))
        return false;
    if (is_chunked) {
        m_framing = body_framing::chunked;
    } else if (length == field_state::valid) {
        m_framing = body_framing::length;
        head.m_length = m_remaining;
    } else {
        m_framing = body_framing::until_close;
        m_keep_alive = false;
        head.m_framed = false;
    }
    return true;
}

parse_state response_parser::read_body(std::span<char> input, std::size_t& size,
                                       std::size_t& rest) {
    rest = 0;
    size = input.size();
    switch (m_framing) {
    case body_framing::none:
        return parse_state::found;
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
    return m_chunks.decode(input, size, rest);
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
