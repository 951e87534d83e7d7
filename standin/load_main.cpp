// Command line of the load stand-in.
#include <fstream>
#include <iostream>

#include <CLI/CLI.hpp>

#include "standin/load.hpp"

int main(int argc, char** argv) {
    CLI::App app{"Open-loop callers that measure"};
    std::string path;
    std::string json;
    std::string ledger;
    app.add_option("experiment", path, "TOML experiment file")->required();
    app.add_option("--json", json, "file for the result");
    app.add_option("--ledger", ledger, "folder of the upstreams' ledgers");
    CLI11_PARSE(app, argc, argv);
    const auto what = standin::load_experiment(path);
    if (!what) {
        std::cerr << what.error().text() << '\n';
        return 2;
    }
    skylark::io::event_loop loop;
    standin::load load{loop, what.value()};
    load.run();
    if (!ledger.empty())
        load.result().check_ledger(ledger);
    std::cout << load.result().table();
    if (!json.empty())
        std::ofstream{json} << load.result().json() << '\n';
    std::cout.flush();
    std::_Exit(0);
}
