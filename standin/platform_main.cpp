// Command line of the platform's stand-in.
#include <fstream>
#include <iostream>
#include <sstream>

#include <CLI/CLI.hpp>

#include "standin/platform.hpp"

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for the platform's key-value store"};
    std::string listen = "127.0.0.1:0";
    std::string file;
    app.add_option("--listen", listen, "address to serve on");
    app.add_option("--document", file, "first configuration document");
    CLI11_PARSE(app, argc, argv);
    const auto where = skylark::parse_address(listen, "--listen");
    if (!where) {
        std::cerr << where.error().text() << '\n';
        return 2;
    }
    skylark::io::event_loop loop;
    standin::platform platform{loop};
    if (!file.empty()) {
        const std::ifstream in{file};
        std::stringstream text;
        text << in.rdbuf();
        platform.preload("skylark/config", text.str());
    }
    const auto bound = platform.listen(where.value());
    if (!bound) {
        std::cerr << bound.error().text() << '\n';
        return 2;
    }
    std::cout << bound.value().text() << std::endl;
    loop.run();
}
