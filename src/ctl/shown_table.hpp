// What an entry answers to a show or explain query.
#ifndef SKYLARK_CTL_SHOWN_TABLE_HPP
#define SKYLARK_CTL_SHOWN_TABLE_HPP

#include <string>

#include <nlohmann/json.hpp>

#include <skylark/command/table.hpp>
#include <skylark/core/error.hpp>

#include "ctl/client.hpp"

namespace skylark::ctl {

/*! @brief The table of one entry. */
struct shown_table {
    std::string m_entry; //!< its name
    std::uint64_t m_revision{};
    std::int64_t m_confirmed_ms_ago{}; //!< -1: never
    table m_table;
    nlohmann::json m_tree; //!< the whole answer
};

/*! @brief Reads a table.
 *  @param from an entry that has answered
 *  @return the table, or why the answer is none */
parsed<shown_table> read_table(const entry_answer& from);

} // namespace skylark::ctl

#endif
