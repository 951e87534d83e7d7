// Cells of the tables that answer show and explain queries.
#ifndef SKYLARK_ENTRY_TABLE_TEXT_HPP
#define SKYLARK_ENTRY_TABLE_TEXT_HPP

#include <chrono>
#include <string>

#include <skylark/command/table.hpp>
#include <skylark/core/time.hpp>

#include "core/foreign_text.hpp"

namespace skylark::entry::internal {

template <class Number>
std::string text(Number value) {
    return std::to_string(value);
}

inline std::string age_text(duration age) {
    return age > std::chrono::hours{24} ? "never" : text(to_ms(age));
}

// Names and texts of others end in a terminal.
inline table clean(table of) {
    for (auto& row : of.m_rows)
        for (std::string& cell : row)
            cell = clean_text(cell);
    return of;
}

inline std::string yes_no(bool value) {
    return value ? "yes" : "no";
}

} // namespace skylark::entry::internal

#endif
