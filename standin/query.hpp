// Path and query of a request target, for the stand-ins' small interfaces.
#ifndef STANDIN_QUERY_HPP
#define STANDIN_QUERY_HPP

#include <charconv>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace standin {

/*! @brief A request target taken apart; values are not unescaped. */
class query {
public:
    explicit query(std::string_view target) {
        const auto mark = target.find('?');
        m_path = target.substr(0, mark);
        if (mark == std::string_view::npos)
            return;
        std::string_view rest = target.substr(mark + 1);
        while (!rest.empty()) {
            const auto field = rest.substr(0, rest.find('&'));
            rest.remove_prefix(std::min(rest.size(), field.size() + 1));
            const auto equals = field.find('=');
            const auto value = equals == std::string_view::npos
                                   ? std::string_view{}
                                   : field.substr(equals + 1);
            m_fields.emplace(field.substr(0, equals), value);
        }
    }

    [[nodiscard]] const std::string& path() const { return m_path; }

    [[nodiscard]] bool has(const std::string& key) const {
        return m_fields.contains(key);
    }

    [[nodiscard]] std::string text(const std::string& key) const {
        const auto found = m_fields.find(key);
        return found == m_fields.end() ? std::string{} : found->second;
    }

    //! Leading digits of a value; the fallback when there are none.
    [[nodiscard]] std::int64_t number(const std::string& key,
                                      std::int64_t fallback) const {
        const std::string value = text(key);
        std::int64_t out = fallback;
        std::from_chars(value.data(), value.data() + value.size(), out);
        return out;
    }

private:
    std::string m_path;
    std::map<std::string, std::string> m_fields;
};

} // namespace standin

#endif
