// Command line of the stand-in for the store of the users' platform.
#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "standin/kv_store.hpp"
#include "standin/store_operator.hpp"

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for the store of the users' platform"};
    std::string listen = "127.0.0.1:0";
    std::string operators = "127.0.0.1:0";
    app.add_option("--listen", listen, "address for entries");
    app.add_option("--operators", operators, "address for all others");
    CLI11_PARSE(app, argc, argv);
    const auto for_entries = skylark::parse_address(listen, "--listen");
    const auto for_others = skylark::parse_address(operators, "--operators");
    for (const auto* where : {&for_entries, &for_others})
        if (!*where) {
            std::cerr << where->error().text() << '\n';
            return 2;
        }
    skylark::io::event_loop loop;
    standin::kv_store store{loop};
    standin::store_operator others{loop, store};
    const auto bound = store.listen(for_entries.value());
    const auto bound_others = others.listen(for_others.value());
    for (const auto* one : {&bound, &bound_others}) {
        if (!*one) {
            std::cerr << one->error().text() << '\n';
            return 2;
        }
        std::cout << one->value().text() << std::endl;
    }
    loop.run();
}
