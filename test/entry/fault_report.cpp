// The report of a fault survives what the fault has damaged.
#include "entry/fault_report.hpp"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <gtest/gtest.h>

using namespace skylark;
using testing::KilledBySignal;

namespace {

class fault_report : public testing::Test {
protected:
    fault_report() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

// NOLINTNEXTLINE(misc-no-recursion): the stack is to overflow.
int overflow(int depth) {
    std::array<volatile char, 4096> page{};
    page[0] = static_cast<char>(depth);
    return depth < 0 ? 0 : overflow(depth + 1) + page[0];
}

int filled_pipe() {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe2(ends.data(), O_NONBLOCK), 0);
    const std::string much(4096, 'x');
    while (write(ends[1], much.data(), much.size()) > 0) {
    }
    fcntl(ends[1], F_SETFL, 0);
    return ends[1];
}

int broken_pipe() {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe(ends.data()), 0);
    close(ends[0]);
    return ends[1];
}

} // namespace

TEST_F(fault_report, an_overflown_stack_is_reported) {
    const auto fault = [] {
        entry::report_faults();
        std::exit(overflow(0));
    };
    EXPECT_EXIT(fault(), KilledBySignal(SIGSEGV),
                "FATAL skylark-entry fault signal=SIGSEGV address=0x");
}

TEST_F(fault_report, an_abort_is_reported_with_its_place) {
    const auto fault = [] {
        entry::report_faults();
        std::abort();
    };
    EXPECT_EXIT(
        fault(), KilledBySignal(SIGABRT),
        "fault signal=SIGABRT sender=[0-9]+ pid=[0-9]+\n(.*\n)*.*abort");
}

// A write to it raised SIGPIPE, which ended the process in place of the fault.
TEST_F(fault_report, a_broken_standard_error_keeps_the_status) {
    const auto fault = [] {
        entry::report_faults();
        dup2(broken_pipe(), STDERR_FILENO);
        std::abort();
    };
    EXPECT_EXIT(fault(), KilledBySignal(SIGABRT), "");
}

TEST_F(fault_report, a_closed_standard_error_keeps_the_status) {
    const auto fault = [] {
        entry::report_faults();
        close(STDERR_FILENO);
        std::abort();
    };
    EXPECT_EXIT(fault(), KilledBySignal(SIGABRT), "");
}

TEST_F(fault_report, a_full_standard_error_does_not_delay_the_end) {
    const auto fault = [] {
        entry::report_faults();
        dup2(filled_pipe(), STDERR_FILENO);
        alarm(20); // ends a report that waits, with another status
        std::abort();
    };
    EXPECT_EXIT(fault(), KilledBySignal(SIGABRT), "");
}

TEST_F(fault_report, handlers_that_exist_are_kept) {
    const auto fault = [] {
        std::signal(SIGFPE, [](int) { _exit(3); });
        entry::report_faults();
        std::raise(SIGFPE);
    };
    EXPECT_EXIT(fault(), testing::ExitedWithCode(3), "");
}
