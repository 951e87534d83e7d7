// Merges the events of all entries into one time line.
#ifndef SKYLARK_CTL_TIMELINE_HPP
#define SKYLARK_CTL_TIMELINE_HPP

#include <string>
#include <vector>

#include "ctl/client.hpp"
#include "ctl/exit_code.hpp"

namespace skylark::ctl {

/*! @brief One event with the process it is from. */
struct timeline_row {
    std::uint64_t m_stamp{}; //!< hybrid logical clock
    std::string m_entry;
    std::uint64_t m_sequence{};
    std::string m_kind;
    std::string m_subject;
    std::string m_detail;

    /*! @brief Wall time of the stamp, as ISO 8601 in UTC. */
    [[nodiscard]] std::string time() const;
};

/*! @brief What is shown and how. */
struct timeline_options {
    std::int64_t m_since_s{}; //!< only the last so many seconds; 0: all
    std::string m_kind;       //!< only this kind; empty: all
    bool m_json{};
    bool m_html{};
};

/*! @brief Events in order, and what is missing among them. */
struct timeline_data {
    std::vector<timeline_row> m_rows;
    //! Lost events, silent entries, answers that can't be read.
    std::vector<std::string> m_gaps;
};

/*! @brief Collects, merges and prints.
 *  @return unreachable when no entry answers or an answer can't be read */
exit_code print_timeline(client& entries, const timeline_options& options);

/*! @brief A self-contained page with one lane for each entry. */
std::string timeline_page(const timeline_data& data);

} // namespace skylark::ctl

#endif
