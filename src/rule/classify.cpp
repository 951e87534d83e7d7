// Finds the rule that a request falls under.
#include <skylark/rule/classify.hpp>

#include <algorithm>

namespace skylark {

namespace internal {

static bool path_matches(std::string_view prefix, std::string_view path) {
    if (path.substr(0, prefix.size()) != prefix)
        return false;
    if (prefix.back() == '/' || path.size() == prefix.size())
        return true;
    const char next = path[prefix.size()];
    return next == '/' || next == '?';
}

static bool matches(const rule& candidate, std::string_view method,
                    std::string_view path, const header_lookup& header) {
    if (candidate.m_method != "*" && candidate.m_method != method)
        return false;
    if (!path_matches(candidate.m_path_prefix, path))
        return false;
    return candidate.m_header.empty() ||
           header(candidate.m_header) == candidate.m_header_value;
}

} // namespace internal

const rule* classify(const std::vector<rule>& rules, std::string_view method,
                     std::string_view path, const header_lookup& header) {
    const auto found =
        std::find_if(rules.begin(), rules.end(), [&](const rule& candidate) {
            return internal::matches(candidate, method, path, header);
        });
    return found == rules.end() ? nullptr : &*found;
}

} // namespace skylark
