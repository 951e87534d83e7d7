// Asks entries over HTTP; each call returns when its answers are there.
#ifndef SKYLARK_CTL_CLIENT_HPP
#define SKYLARK_CTL_CLIENT_HPP

#include <optional>
#include <string>
#include <vector>

#include <skylark/core/address.hpp>

#include "io/event_loop.hpp"
#include "io/fetcher.hpp"

namespace skylark::ctl {

/*! @brief What one entry said. */
struct entry_answer {
    address m_entry;
    io::fetch_result m_result;
    //! Whether an entry that was asked before may have run the request.
    bool m_may_have_run_before{};

    /*! @brief The whole answer; nullptr when the entry gave none. */
    [[nodiscard]] const io::fetch_answer* answer() const {
        return std::get_if<io::fetch_answer>(&m_result);
    }
};

/*! @brief Talks to the control addresses of entries. */
class client {
public:
    /*! @param known control addresses to begin with
     *  @param timeout for each answer */
    client(std::vector<address> known, duration timeout);

    /*! @brief Asks known entries in turn until one answers. */
    std::optional<entry_answer> ask_any(io::fetch_request what);

    /*! @brief Asks all entries of the deployment at once. */
    std::vector<entry_answer> ask_all(const io::fetch_request& what);

    /*! @brief Learns all control addresses from the first that answers.
     *  @return false, with a line on standard error, when none does or its
     *          answer can't be read */
    bool discover();

    /*! @brief Lets time pass. */
    void wait(duration length);

private:
    void run_until(const bool& done);

    io::event_loop m_loop;
    io::fetcher m_fetcher;
    std::vector<address> m_entries;
    duration m_timeout;
};

} // namespace skylark::ctl

#endif
