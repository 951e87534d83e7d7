// Reads one table of TOML, checked key by key.
#ifndef SKYLARK_ENTRY_TOML_READER_HPP
#define SKYLARK_ENTRY_TOML_READER_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include <skylark/core/address.hpp>
#include <skylark/core/suggest.hpp>
#include <skylark/core/time.hpp>

#include "core/bounded_ms.hpp"

namespace skylark::entry {

/*! @brief Reads one table; keeps the first error and the keys that were asked
 *  for. */
class toml_reader {
public:
    toml_reader(const toml::table& table, std::string_view file)
        : m_table{table}, m_file{file} {}

    void text(std::string_view key, std::string& out, bool required) {
        const toml::node* node = take(key, required);
        if (!node)
            return;
        if (const auto value = node->value_exact<std::string>())
            out = *value;
        else
            fail(*node, key, "a string");
    }

    void where(std::string_view key, address& out, bool required) {
        std::string written;
        text(key, written, required);
        if (m_error || !m_table.contains(key))
            return;
        const auto value = parse_address(written, place(*m_table.get(key)));
        if (value)
            out = value.value();
        else
            m_error = m_error ? m_error : value.error();
    }

    void where(std::string_view key, std::optional<address>& out) {
        address value;
        where(key, value, false);
        if (!m_error && m_table.contains(key))
            out = value;
    }

    void texts(std::string_view key, std::vector<std::string>& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const toml::array* list = node->as_array();
        if (!list) {
            fail(*node, key, "an array of strings");
            return;
        }
        for (const toml::node& item : *list) {
            const auto value = item.value_exact<std::string>();
            if (value)
                out.push_back(*value);
            else
                fail(item, key, "an array of strings");
        }
    }

    void ms(std::string_view key, duration& out) {
        std::int64_t value = to_ms(out);
        whole(key, value);
        out = bounded_ms(value);
    }

    void whole(std::string_view key, std::int64_t& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= 0)
            out = *value;
        else
            fail(*node, key, "a whole number from 0 up");
    }

    void flag(std::string_view key, bool& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        if (const auto value = node->value_exact<bool>())
            out = *value;
        else
            fail(*node, key, "true or false");
    }

    void bytes(std::string_view key, std::size_t& out) {
        auto value = static_cast<std::int64_t>(out);
        whole(key, value);
        out = static_cast<std::size_t>(value);
    }

    // A number above 0, whole or not.
    void number(std::string_view key, double& out, double most,
                std::string expected) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const auto value = node->value<double>();
        if (value && *value > 0.0 && *value <= most)
            out = *value;
        else
            fail(*node, key, std::move(expected));
    }

    void addresses(std::string_view key, std::vector<address>& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const toml::array* list = node->as_array();
        if (!list) {
            fail(*node, key, "an array of addresses");
            return;
        }
        for (const toml::node& item : *list) {
            const auto text = item.value_exact<std::string>();
            const auto value = parse_address(text.value_or(""), place(item));
            if (value)
                out.push_back(value.value());
            else
                m_error = m_error ? m_error : value.error();
        }
    }

    void one_of(std::string_view key, std::string& out,
                std::span<const std::string_view> known) {
        text(key, out, false);
        if (std::find(known.begin(), known.end(), out) == known.end() &&
            !m_error)
            fail(*m_table.get(key), key, expected_one_of(out, known));
    }

    std::optional<input_error> finish() {
        if (m_error)
            return m_error;
        for (const auto& [key, node] : m_table) {
            const std::string_view name = key.str();
            if (std::find(m_known.begin(), m_known.end(), name) ==
                m_known.end())
                return input_error{place(node), "key " + std::string{name},
                                   expected_one_of(name, m_known)};
        }
        return std::nullopt;
    }

private:
    std::string place(const toml::node& node) const {
        return m_file + ":" + std::to_string(node.source().begin.line);
    }

    const toml::node* take(std::string_view key, bool required) {
        m_known.push_back(key);
        const toml::node* node = m_table.get(key);
        if (!node && required && !m_error)
            m_error = input_error{m_file, "no key " + std::string{key},
                                  "a value for " + std::string{key}};
        return node;
    }

    void fail(const toml::node& node, std::string_view key,
              std::string expected) {
        std::ostringstream written;
        node.visit([&](const auto& value) {
            if constexpr (toml::is_value<decltype(value)>)
                written << value;
            else
                written << "a table or array";
        });
        if (!m_error)
            m_error = input_error{place(node),
                                  std::string{key} + " = " + written.str(),
                                  std::move(expected)};
    }

    const toml::table& m_table;
    std::string m_file;
    std::vector<std::string_view> m_known;
    std::optional<input_error> m_error;
};

} // namespace skylark::entry

#endif
