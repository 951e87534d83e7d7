// Matches requests against the rules of the configuration.
#include <skylark/rule/classify.hpp>

#include <algorithm>

namespace skylark {

namespace internal {

// A prefix matches whole path segments only: "/a" matches "/a/b" but not
// "/ab".
static bool path_matches(std::string_view prefix, std::string_view path) {
    if (path.substr(0, prefix.size()) != prefix)
        return false;
    if (prefix.back() == '/' || path.size() == prefix.size())
        return true;
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

// Compares host names without case and without the request's port.
static bool same_host(std::string_view expected, std::string_view host) {
    host = host.substr(0, host.find(':'));
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(
        expected.begin(), expected.end(), host.begin(), host.end(),
        [&](char left, char right) { return lower(left) == lower(right); });
}

static bool matches(const rule& candidate, std::string_view method,
                    std::string_view path, std::string_view host,
                    const header_lookup& header) {
    if (!candidate.m_host.empty() && !same_host(candidate.m_host, host))
        return false;
    if (candidate.m_method != "*" && candidate.m_method != method)
        return false;
    if (!path_matches(candidate.m_path_prefix, path))
        return false;
    return candidate.m_header.empty() ||
           header(candidate.m_header) == candidate.m_header_value;
}

} // namespace internal

const rule* classify(const std::vector<rule>& rules, std::string_view method,
                     std::string_view path, std::string_view host,
                     const header_lookup& header) {
    const auto found =
        std::find_if(rules.begin(), rules.end(), [&](const rule& candidate) {
            return internal::matches(candidate, method, path, host, header);
        });
    return found == rules.end() ? nullptr : &*found;
}

} // namespace skylark
