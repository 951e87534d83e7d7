// File of what a stand-in did with each request, one line for each event.
#ifndef STANDIN_LEDGER_HPP
#define STANDIN_LEDGER_HPP

#include <fstream>
#include <string>
#include <string_view>

#include "io/event_loop.hpp"

namespace standin {

/*! @brief Appends lines "MICROSECONDS WORD ID [key=value ...]". Each line is
 *  flushed, so that it outlives a killed process. Times are those of the
 *  monotonic clock, comparable between processes of one machine. */
class ledger {
public:
    /*! @param path file to append to; empty: nothing is written */
    explicit ledger(const std::string& path) {
        if (!path.empty())
            m_file.open(path, std::ios::app);
    }

    /*! @param word what happened
     *  @param id request, "-" if none is meant
     *  @param detail further fields */
    void add(std::string_view word, std::string_view id,
             std::string_view detail = {}) {
        if (!m_file.is_open())
            return;
        const auto now = skylark::io::event_loop::now().time_since_epoch();
        m_file << now.count() << ' ' << word << ' ' << (id.empty() ? "-" : id);
        if (!detail.empty())
            m_file << ' ' << detail;
        m_file << std::endl;
    }

private:
    std::ofstream m_file;
};

} // namespace standin

#endif
