/*! @file
 *  Table: result of a show query. */
#ifndef SKYLARK_COMMAND_TABLE_HPP
#define SKYLARK_COMMAND_TABLE_HPP

#include <string>
#include <vector>

#include <skylark/command/statement.hpp>
#include <skylark/core/error.hpp>

namespace skylark {

/*! @brief Rows of text cells under named columns. */
struct table {
    std::vector<std::string> m_columns;
    //! Invariant: each row has as many cells as there are columns.
    std::vector<std::vector<std::string>> m_rows;
};

/*! @brief Keeps the rows that pass all filters.
 *  @param subject the table
 *  @param filters comparisons; two numbers compare by value, else as text
 *  @return the filtered table, or an error for an unknown field */
parsed<table> select(table subject, const std::vector<filter>& filters);

/*! @brief Formats a table as aligned text, one line per row. */
std::string format_table(const table& subject);

} // namespace skylark

#endif
