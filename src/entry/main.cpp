// skylark-entry: one entry instance.
#include <csignal>
#include <iostream>
#include <string>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <skylark/config/config.hpp>

#include "entry/node.hpp"
#include "entry/settings.hpp"

namespace {

volatile std::sig_atomic_t drain_requested = 0;

void request_drain(int) {
    drain_requested = 1;
}

constexpr auto signal_check = skylark::milliseconds{20};
constexpr int exit_bad_settings = 2;

int run(const skylark::entry::settings& from) {
    skylark::io::event_loop loop;
    skylark::entry::node node{loop, from};
    const auto started = node.start();
    if (!started) {
        std::cerr << started.error().text() << '\n';
        return exit_bad_settings;
    }
    loop.every(signal_check, [&node] {
        if (drain_requested != 0)
            node.drain();
    });
    loop.run();
    // h2o keeps references into the node; the process ends as a whole.
    std::cout.flush();
    std::_Exit(0);
}

} // namespace

int main(int argc, char** argv) {
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
    std::signal(SIGTERM, request_drain);
    std::signal(SIGINT, request_drain);
    return run(settings.value());
}
