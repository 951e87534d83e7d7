// Standard output as a log4cplus appender that never waits.
#include "entry/log_sink.hpp"

#include <climits>
#include <sstream>
#include <string>

#include <poll.h>
#include <unistd.h>

namespace skylark::entry {

// A pipe that polls as writable takes this many bytes without waiting.
constexpr std::size_t longest_write = PIPE_BUF;

bool log_sink::write(const std::string& text) const {
    pollfd state{m_descriptor, POLLOUT, 0};
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return false;
    const auto size = static_cast<ssize_t>(text.size());
    return ::write(m_descriptor, text.data(), text.size()) == size;
}

void log_sink::append(const log4cplus::spi::InternalLoggingEvent& event) {
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    std::string text = line.str();
    if (text.size() > longest_write) {
        text.resize(longest_write - 1);
        text += '\n';
    }
    if (m_left_out > 0) {
        if (!write("log left_out=" + std::to_string(m_left_out) +
                   " reason=\"the reader of the log is too slow\"\n")) {
            ++m_left_out;
            return;
        }
        m_left_out = 0;
    }
    if (!write(text))
        ++m_left_out;
}

} // namespace skylark::entry
