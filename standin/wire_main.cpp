// Command line of the wire: forgets its connections at each SIGUSR1.
#include <csignal>
#include <iostream>

#include <CLI/CLI.hpp>

#include "standin/wire.hpp"

namespace {

volatile std::sig_atomic_t forget_requested = 0;

void request_forget(int) {
    forget_requested = 1;
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Forwards connections; SIGUSR1 silences the open ones"};
    std::string listen;
    std::string to;
    app.add_option("--listen", listen, "address to serve on")->required();
    app.add_option("--to", to, "address to forward to")->required();
    CLI11_PARSE(app, argc, argv);
    const auto where = skylark::parse_address(listen, "--listen");
    const auto target = skylark::parse_address(to, "--to");
    if (!where || !target) {
        std::cerr << (where ? target : where).error().text() << '\n';
        return 2;
    }
    std::signal(SIGUSR1, request_forget);
    standin::wire wire{target.value()};
    if (const auto bound = wire.listen(where.value()); !bound) {
        std::cerr << bound.error().text() << '\n';
        return 2;
    }
    constexpr int wait_ms = 20;
    while (true) {
        wire.run_once(wait_ms);
        if (forget_requested != 0) {
            forget_requested = 0;
            wire.forget();
            std::cout << "silent: " << wire.forgotten() << std::endl;
        }
    }
}
