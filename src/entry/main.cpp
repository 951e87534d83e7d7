// skylark-entry: one entry instance.
#include <csignal>
#include <cstdint>
#include <ctime>
#include <filesystem>
#include <iostream>
#include <string>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <skylark/config/config.hpp>

#include "entry/fault_report.hpp"
#include "entry/node.hpp"
#include "entry/port_wait.hpp"
#include "entry/settings.hpp"
#include "entry/stop_signal.hpp"

namespace {

using skylark::entry::stop_signalled_us;

volatile std::sig_atomic_t reload_requested = 0;

// Runs at once also when the loop is in a long turn, so its time is the
// signal's.
void request_drain(int) {
    constexpr std::int64_t us_in_s = 1'000'000;
    constexpr std::int64_t ns_in_us = 1000;
    timespec now{};
    clock_gettime(CLOCK_MONOTONIC, &now);
    std::int64_t none = 0;
    stop_signalled_us.compare_exchange_strong(none, now.tv_sec * us_in_s +
                                                        now.tv_nsec / ns_in_us);
}

void request_reload(int) {
    reload_requested = 1;
}

constexpr auto signal_check = skylark::milliseconds{20};
constexpr int exit_bad_settings = 2;
// Settings may also change without a signal.
constexpr auto settings_check = skylark::seconds{1};

// A signal that comes during the start waits in these until the loop runs.
void handle_signals() {
    std::signal(SIGTERM, request_drain);
    std::signal(SIGINT, request_drain);
    std::signal(SIGHUP, request_reload);
    // A reader of the output that has gone must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

// Libraries take milliseconds to initialize, in which a signal would end the
// process by its default. The dynamic linker calls this before it starts them.
using initializer = void (*)();
[[gnu::used,
  gnu::section(".preinit_array")]] const initializer handle_signals_early =
    handle_signals;

// Lines would be written to the sockets that took the numbers of standard
// descriptors.
void fill_standard_descriptors() {
    constexpr int not_open = -1;
    for (const int number : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
        // The lowest number that is free is this one.
        if (fcntl(number, F_GETFD) == not_open)
            static_cast<void>(open("/dev/null", O_RDWR) < 0);
}

// Each connection takes a descriptor, and a soft limit is often 1024.
void raise_descriptor_limit() {
    rlimit bounds{};
    if (getrlimit(RLIMIT_NOFILE, &bounds) != 0)
        return;
    bounds.rlim_cur = bounds.rlim_max;
    setrlimit(RLIMIT_NOFILE, &bounds); // a lower limit serves fewer callers
}

int run(const skylark::entry::settings& from, const std::string& path) {
    const auto free = skylark::entry::wait_for_ports(from);
    if (!free) {
        std::cerr << free.error().text() << '\n';
        return exit_bad_settings;
    }
    // Nobody can have reached this process yet.
    if (stop_signalled_us != 0) {
        std::cout << "told to end before the start\n";
        return 0;
    }
    skylark::io::event_loop loop;
    skylark::entry::node node{loop, from};
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().text() << '\n';
        return exit_bad_settings;
    }
    loop.every(signal_check, [&node, &path] {
        const std::int64_t signalled_us = stop_signalled_us;
        if (signalled_us != 0)
            node.drain(
                skylark::time_point{skylark::microseconds{signalled_us}});
        if (reload_requested != 0) {
            reload_requested = 0;
            node.reload(path);
        }
    });
    std::error_code ignored; // a file that is being replaced has no time
    auto changed = std::filesystem::last_write_time(path, ignored);
    loop.every(settings_check, [&node, &path, changed]() mutable {
        std::error_code missing;
        const auto found = std::filesystem::last_write_time(path, missing);
        if (!missing && std::exchange(changed, found) != found)
            node.reload(path);
    });
    loop.run();
    // h2o keeps references into the node; the process ends as a whole.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv) {
    fill_standard_descriptors();
    raise_descriptor_limit();
    skylark::entry::report_faults();
    CLI::App app{"Entry instance of skylarkspindle"};
    std::string path;
    bool check_only = false;
    app.set_version_flag("--version", std::string{skylark::version});
    app.add_option("--settings", path, "TOML file with the settings")
        ->required();
    app.add_flag("--check", check_only, "check the settings and end");
    CLI11_PARSE(app, argc, argv);
    const auto settings = skylark::entry::load_settings(path);
    if (!settings) {
        std::cerr << settings.error().text() << '\n';
        return exit_bad_settings;
    }
    if (check_only) {
        std::cout << path << ": good\n";
        return 0;
    }
    return run(settings.value(), path);
}
