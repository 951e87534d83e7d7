// Reads what an entry answered, which may be anything.
#ifndef SKYLARK_CTL_ANSWER_READER_HPP
#define SKYLARK_CTL_ANSWER_READER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

#include <nlohmann/json.hpp>

#include <skylark/core/error.hpp>

#include "core/foreign_text.hpp"
#include "core/json_text.hpp"
#include "ctl/client.hpp"

namespace skylark::ctl {

namespace internal {

inline constexpr std::size_t longest_value = 200; // bytes, in an error
inline constexpr std::size_t longest_text = std::size_t{4} << 10U;

} // namespace internal

/*! @brief A number of things; throws as nlohmann does if it is none. */
inline std::uint64_t count_at(const nlohmann::json& tree, const char* key) {
    const nlohmann::json& value = tree.at(key);
    if (!value.is_number_unsigned())
        throw nlohmann::json::type_error::create(302, "no count", &value);
    return value.get<std::uint64_t>();
}

/*! @brief A text fit for a terminal; throws as nlohmann does if it is none. */
inline std::string text_in(const nlohmann::json& value) {
    return clean_text(value.get_ref<const std::string&>(),
                      internal::longest_text);
}

/*! @brief Reads the JSON of an answer.
 *  @param from an entry that has answered
 *  @param expected what the answer should be, for the error
 *  @param read takes the tree; may throw as nlohmann does when the shape is
 *         another one
 *  @return what read returns, or an error with the entry and its answer */
template <class Read>
parsed<std::invoke_result_t<Read, const nlohmann::json&>>
read_answer(const entry_answer& from, std::string_view expected, Read read) {
    const std::string place = "answer of " + from.m_entry.text();
    const std::string& body = from.answer()->m_body;
    const auto tree = parse_json(body, place);
    if (!tree)
        return input_error{tree.error().m_place,
                           '"' + clean_text(body, internal::longest_value) +
                               '"',
                           tree.error().m_expected};
    try {
        return read(tree.value());
    } catch (const nlohmann::json::exception&) {
        return input_error{place, json_excerpt(tree.value()),
                           std::string{expected}};
    }
}

} // namespace skylark::ctl

#endif
