// Runs one statement of the operators' language and prints the answer.
#ifndef SKYLARK_CTL_QUERY_COMMAND_HPP
#define SKYLARK_CTL_QUERY_COMMAND_HPP

#include <string>

#include "ctl/client.hpp"
#include "ctl/exit_code.hpp"

namespace skylark::ctl {

/*! @brief How statements are run and answers printed. */
struct query_options {
    bool m_json{};
    bool m_wait{}; //!< until in force everywhere
    duration m_wait_limit{seconds{11}};
    std::uint64_t m_if_revision{}; //!< 0: whatever is in force
};

/*! @brief Runs statements against entries. */
class query_command {
public:
    query_command(client& entries, const query_options& options)
        : m_client{entries}, m_options{options} {}

    /*! @brief Runs one statement; answers go to standard output, errors to
     *  standard error.
     *  @param line the statement
     *  @return how it ended */
    exit_code run(const std::string& line);

private:
    exit_code show(const std::string& line, bool every_entry);
    exit_code change(const std::string& line);
    exit_code accepted(std::uint64_t revision);
    exit_code print_refusal(const entry_answer& from) const;

    client& m_client;
    query_options m_options;
};

} // namespace skylark::ctl

#endif
