// Validating access to one JSON object: rejects unknown keys and wrong types.
#ifndef SKYLARK_CONFIG_JSON_READER_HPP
#define SKYLARK_CONFIG_JSON_READER_HPP

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include <skylark/core/error.hpp>
#include <skylark/core/suggest.hpp>
#include <skylark/core/time.hpp>

#include "core/json_text.hpp"

namespace skylark::internal {

/*! @brief Whether errors contain the values that they are about. */
enum class value_display : std::uint8_t {
    shown,
    hidden //!< except numbers and booleans, which are no keys
};

// Type of a value that may be or contain a key, and what can be no key itself.
inline std::string hidden_excerpt(const nlohmann::json& value) {
    if (value.is_number() || value.is_boolean() || value.is_null())
        return json_excerpt(value);
    return std::string{"a value of type "} + value.type_name();
}

// Reads the fields of one object and records the first error. The
// object must outlive the reader.
class json_reader {
public:
    json_reader(const nlohmann::json& object, std::string place,
                value_display display = value_display::shown)
        : m_object{object}, m_place{std::move(place)}, m_display{display} {
        if (!m_object.is_object())
            fail("", object, "an object");
    }

    void read(std::string_view key, std::string& out) {
        if (const auto* value = take(key)) {
            if (value->is_string())
                out = value->get<std::string>();
            else
                fail(key, *value, "a string");
        }
    }

    void read(std::string_view key, bool& out) {
        if (const auto* value = take(key)) {
            if (value->is_boolean())
                out = value->get<bool>();
            else
                fail(key, *value, "true or false");
        }
    }

    void read(std::string_view key, std::uint32_t& out) {
        constexpr std::uint32_t largest = 1'000'000'000;
        if (const auto* value = take(key)) {
            if (value->is_number_unsigned() &&
                value->get<std::uint64_t>() <= largest)
                out = value->get<std::uint32_t>();
            else
                fail(key, *value, "a whole number from 0 to 1000000000");
        }
    }

    void read(std::string_view key, std::uint64_t& out) {
        if (const auto* value = take(key)) {
            if (value->is_number_unsigned())
                out = value->get<std::uint64_t>();
            else
                fail(key, *value, "a whole number");
        }
    }

    void read(std::string_view key, double& out) {
        constexpr double largest = 1e9;
        if (const auto* value = take(key)) {
            const double number =
                value->is_number() ? value->get<double>() : -1.0;
            if (number >= 0.0 && number <= largest)
                out = number;
            else
                fail(key, *value, "a number from 0 to 1000000000");
        }
    }

    void read_ms(std::string_view key, duration& out) {
        auto ms = static_cast<std::uint32_t>(to_ms(out));
        read(key, ms);
        out = milliseconds{ms};
    }

    template <class Value>
    void read_enum(std::string_view key, Value& out,
                   std::span<const Value> values) {
        std::string text{name_of(out)};
        read(key, text);
        std::vector<std::string_view> names;
        for (const Value value : values) {
            if (name_of(value) == text) {
                out = value;
                return;
            }
            names.push_back(name_of(value));
        }
        fail(key, nlohmann::json(text), expected_one_of(text, names));
    }

    template <class Item, class Read>
    void read_list(std::string_view key, std::vector<Item>& out, Read one) {
        const auto* value = take(key);
        if (!value)
            return;
        if (!value->is_array()) {
            fail(key, *value, "an array");
            return;
        }
        for (std::size_t i = 0; i < value->size() && !m_error; ++i) {
            const std::string at =
                m_place + "/" + std::string{key} + "/" + std::to_string(i);
            parsed<Item> item = one((*value)[i], at);
            if (item)
                out.push_back(std::move(item).value());
            else
                m_error = item.error();
        }
    }

    // The value of a key, nullptr when it is absent.
    const nlohmann::json* child(std::string_view key) { return take(key); }

    // Returns the first error. A key that was never read counts as unknown.
    std::optional<input_error> finish() {
        if (m_error || !m_object.is_object())
            return m_error;
        for (const auto& [key, value] : m_object.items()) {
            if (std::find(m_known.begin(), m_known.end(), key) == m_known.end())
                return input_error{m_place + "/" + key, excerpt(value),
                                   expected_one_of(key, m_known)};
        }
        return std::nullopt;
    }

    void fail(std::string_view key, const nlohmann::json& value,
              std::string expected) {
        if (!m_error)
            m_error = input_error{m_place + "/" + std::string{key},
                                  excerpt(value), std::move(expected)};
    }

private:
    // A list or an object in an unexpected place may contain teams with keys.
    [[nodiscard]] std::string excerpt(const nlohmann::json& value) const {
        return m_display == value_display::hidden || value.is_structured()
                   ? hidden_excerpt(value)
                   : json_excerpt(value);
    }

    const nlohmann::json* take(std::string_view key) {
        m_known.push_back(key);
        if (m_error || !m_object.is_object())
            return nullptr;
        const auto found = m_object.find(std::string{key});
        return found == m_object.end() ? nullptr : &*found;
    }

    const nlohmann::json& m_object;
    std::string m_place;
    value_display m_display;
    std::vector<std::string_view> m_known;
    std::optional<input_error> m_error;
};

} // namespace skylark::internal

#endif
