// Last line of a process that a fault ends. What runs in the signal handler is
// async-signal-safe and allocates nothing.
#include "entry/fault_report.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <climits>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <ctime>
#include <string_view>

#include <execinfo.h>
#include <poll.h>
#include <unistd.h>

namespace skylark::entry {

namespace {

constexpr std::array faults{SIGABRT, SIGSEGV, SIGBUS, SIGFPE, SIGILL};
constexpr std::size_t most_frames = 32;
constexpr std::size_t longest_line = 256;
// Other handlers may run on it too, so it is larger than the report needs.
// Pages that are not used take no memory.
constexpr std::size_t stack_bytes = std::size_t{256} << 10U;

alignas(16) std::array<std::byte, stack_bytes> signal_stack;
// Local time's distance from UTC, as localtime_r() is not async-signal-safe.
std::chrono::seconds local_offset{0};
// The signal that is being reported; 0 before the first.
std::atomic<int> reported{0};
static_assert(std::atomic<int>::is_always_lock_free);

constexpr std::string_view name_of(int signal) {
    switch (signal) {
    case SIGABRT:
        return "SIGABRT";
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGILL";
    }
}

// Text in a fixed buffer; what does not fit is left out.
class fixed_line {
public:
    fixed_line& add(std::string_view text) {
        const std::size_t size = std::min(text.size(), m_text.size() - m_size);
        std::copy_n(text.begin(), size, m_text.begin() + m_size);
        m_size += size;
        return *this;
    }

    fixed_line& add_number(std::uint64_t value, int base = 10,
                           std::size_t least_digits = 1) {
        std::array<char, 20> digits{};
        const auto end =
            std::to_chars(digits.data(), digits.data() + digits.size(), value,
                          base)
                .ptr;
        const auto size = static_cast<std::size_t>(end - digits.data());
        for (std::size_t i = size; i < least_digits; ++i)
            add("0");
        return add({digits.data(), size});
    }

    [[nodiscard]] std::string_view text() const {
        return {m_text.data(), m_size};
    }

private:
    std::array<char, longest_line> m_text{};
    std::size_t m_size{};
};

// A pipe that polls as writable takes a line without a wait.
bool may_write() {
    static_assert(longest_line <= PIPE_BUF);
    pollfd state{STDERR_FILENO, POLLOUT, 0};
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

// The form of log lines: local time to the millisecond.
void add_time(fixed_line& line) {
    namespace chrono = std::chrono;
    timespec read{};
    clock_gettime(CLOCK_REALTIME, &read);
    const chrono::sys_seconds now{chrono::seconds{read.tv_sec} + local_offset};
    const auto day = chrono::floor<chrono::days>(now);
    const chrono::year_month_day date{day};
    const chrono::hh_mm_ss time{now - day};
    constexpr std::uint64_t ns_in_ms = 1'000'000;
    const auto add = [&line](auto value, std::size_t digits) -> fixed_line& {
        return line.add_number(static_cast<std::uint64_t>(value), 10, digits);
    };
    add(static_cast<int>(date.year()), 4).add("-");
    add(static_cast<unsigned>(date.month()), 2).add("-");
    add(static_cast<unsigned>(date.day()), 2).add("T");
    add(time.hours().count(), 2).add(":");
    add(time.minutes().count(), 2).add(":");
    add(time.seconds().count(), 2).add(".");
    add(static_cast<std::uint64_t>(read.tv_nsec) / ns_in_ms, 3);
}

void write_fault(int signal, const siginfo_t& info) {
    fixed_line line;
    add_time(line);
    line.add(" FATAL skylark-entry fault signal=").add(name_of(signal));
    // Signals of processes have codes of 0 and below, and no address.
    if (info.si_code <= 0)
        line.add(" sender=")
            .add_number(static_cast<std::uint64_t>(info.si_pid));
    else
        line.add(" address=0x")
            .add_number(reinterpret_cast<std::uintptr_t>(info.si_addr), 16)
            .add(" code=")
            .add_number(static_cast<std::uint64_t>(info.si_code));
    line.add(" pid=")
        .add_number(static_cast<std::uint64_t>(getpid()))
        .add("\n");
    if (may_write())
        static_cast<void>(
            write(STDERR_FILENO, line.text().data(), line.text().size()) < 0);
}

void write_frames() {
    std::array<void*, most_frames> frames{};
    const int count = backtrace(frames.data(), most_frames);
    for (int i = 0; i < count && may_write(); ++i)
        backtrace_symbols_fd(&frames[static_cast<std::size_t>(i)], 1,
                             STDERR_FILENO);
}

// A fault within the report, such as in a damaged stack, ends the process with
// the signal of the first one.
void report(int signal, siginfo_t* info, void* /*context*/) {
    int ending = 0;
    if (reported.compare_exchange_strong(ending, signal)) {
        ending = signal;
        write_fault(signal, *info);
        write_frames();
    }
    sigset_t unblocked{};
    sigemptyset(&unblocked);
    sigaddset(&unblocked, ending);
    raise(ending); // blocked until here, its disposition is the default again
    pthread_sigmask(SIG_UNBLOCK, &unblocked, nullptr);
}

void use_signal_stack() {
    stack_t present{};
    if (sigaltstack(nullptr, &present) != 0 ||
        (static_cast<unsigned>(present.ss_flags) & SS_DISABLE) == 0)
        return;
    stack_t own{};
    own.ss_sp = signal_stack.data();
    own.ss_size = signal_stack.size();
    sigaltstack(&own, nullptr);
}

} // namespace

void report_faults() {
    // The first call loads a library, which allocates.
    std::array<void*, 1> frame{};
    backtrace(frame.data(), 1);
    const std::time_t now = std::time(nullptr);
    std::tm local{};
    localtime_r(&now, &local);
    local_offset = std::chrono::seconds{local.tm_gmtoff};
    use_signal_stack();
    for (const int signal : faults) {
        struct sigaction present {};
        if (sigaction(signal, nullptr, &present) != 0 ||
            present.sa_handler != SIG_DFL)
            continue;
        struct sigaction own {};
        own.sa_sigaction = report;
        own.sa_flags = static_cast<int>(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND);
        sigemptyset(&own.sa_mask);
        // A write to a broken pipe must not change the status.
        sigaddset(&own.sa_mask, SIGPIPE);
        sigaction(signal, &own, nullptr);
    }
}

} // namespace skylark::entry
