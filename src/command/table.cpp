// Filtering and printing of tables.
#include <skylark/command/table.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

#include <skylark/core/suggest.hpp>

namespace skylark {

namespace internal {

static std::optional<double> number_in(const std::string& text) {
    double number = 0;
    const char* last = text.data() + text.size();
    const auto [end, code] = std::from_chars(text.data(), last, number);
    if (code != std::errc{} || end != last)
        return std::nullopt;
    return number;
}

static int compare(const std::string& left, const std::string& right) {
    const auto left_number = number_in(left);
    const auto right_number = number_in(right);
    if (left_number && right_number)
        return *left_number < *right_number   ? -1
               : *left_number > *right_number ? 1
                                              : 0;
    return left.compare(right);
}

static bool passes(const std::string& cell, const filter& by) {
    const int order = compare(cell, by.m_value);
    if (by.m_operator == "=")
        return order == 0;
    if (by.m_operator == "!=")
        return order != 0;
    return by.m_operator == "<" ? order < 0 : order > 0;
}

} // namespace internal

parsed<table> select(table subject, const std::vector<filter>& filters) {
    for (const filter& by : filters) {
        const auto found =
            std::find(subject.m_columns.begin(), subject.m_columns.end(),
                      by.m_field.m_text);
        if (found == subject.m_columns.end()) {
            const std::vector<std::string_view> names{subject.m_columns.begin(),
                                                      subject.m_columns.end()};
            return input_error{"column " + std::to_string(by.m_field.m_column),
                               '"' + by.m_field.m_text + '"',
                               expected_one_of(by.m_field.m_text, names)};
        }
        const auto index =
            static_cast<std::size_t>(found - subject.m_columns.begin());
        std::erase_if(subject.m_rows, [&](const auto& row) {
            return !internal::passes(row[index], by);
        });
    }
    return subject;
}

std::string format_table(const table& subject) {
    std::vector<std::size_t> widths;
    for (const std::string& name : subject.m_columns)
        widths.push_back(name.size());
    for (const auto& row : subject.m_rows)
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    std::string out;
    const auto add = [&](const std::vector<std::string>& cells) {
        std::string line;
        for (std::size_t i = 0; i < cells.size(); ++i) {
            line += cells[i];
            line += std::string(widths[i] - cells[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + '\n';
    };
    add(subject.m_columns);
    for (const auto& row : subject.m_rows)
        add(row);
    return out;
}

} // namespace skylark
