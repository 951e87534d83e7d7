// Standard output of the process, for tests of log lines.
#ifndef TEST_ENTRY_CAPTURED_OUTPUT_HPP
#define TEST_ENTRY_CAPTURED_OUTPUT_HPP

#include <string>

#include <gtest/gtest.h>
#include <poll.h>
#include <unistd.h>

namespace skylark::test {

// A pipe in place of standard output, for the life of the object.
class captured_output {
public:
    captured_output() {
        EXPECT_EQ(::pipe(m_pipe), 0);
        m_kept = ::dup(STDOUT_FILENO);
        ::dup2(m_pipe[1], STDOUT_FILENO);
    }
    ~captured_output() {
        ::dup2(m_kept, STDOUT_FILENO);
        for (const int descriptor : {m_kept, m_pipe[0], m_pipe[1]})
            ::close(descriptor);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    std::string read() const {
        std::string out;
        pollfd state{m_pipe[0], POLLIN, 0};
        while (::poll(&state, 1, 0) == 1) {
            char buffer[4096];
            const auto size = ::read(m_pipe[0], buffer, sizeof buffer);
            out.append(buffer, static_cast<std::size_t>(size));
        }
        return out;
    }

private:
    int m_pipe[2]{};
    int m_kept{};
};

} // namespace skylark::test

#endif
