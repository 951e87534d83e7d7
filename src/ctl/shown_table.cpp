// Reads an entry's table.
#include "ctl/shown_table.hpp"

#include <vector>

#include "ctl/answer_reader.hpp"

namespace skylark::ctl {

namespace internal {

static std::vector<std::string> texts_of(const nlohmann::json& list) {
    std::vector<std::string> out;
    for (const auto& item : list)
        out.push_back(text_in(item));
    return out;
}

static shown_table table_of(const nlohmann::json& tree) {
    shown_table out{text_in(tree.at("entry")),
                    count_at(tree, "revision"),
                    tree.at("confirmed_ms_ago"),
                    {texts_of(tree.at("columns")), {}},
                    tree};
    for (const auto& row : tree.at("rows"))
        out.m_table.m_rows.push_back(texts_of(row));
    return out;
}

} // namespace internal

parsed<shown_table> read_table(const entry_answer& from) {
    BOOST_OUTCOME_TRY(out, read_answer(from, "a table with entry and revision",
                                       internal::table_of));
    const std::size_t columns = out.m_table.m_columns.size();
    for (const auto& row : out.m_table.m_rows)
        if (row.size() != columns)
            return input_error{"answer of " + from.m_entry.text(),
                               "a row of " + std::to_string(row.size()),
                               std::to_string(columns) + " cells"};
    return out;
}

} // namespace skylark::ctl
