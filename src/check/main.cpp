// skylark-check: checks a settings file or a configuration document.
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <CLI/CLI.hpp>

#include <skylark/config/config.hpp>
#include <skylark/config/document.hpp>

#include "entry/settings.hpp"

namespace {

constexpr int exit_bad = 1;
constexpr int exit_usage = 2;

int report(const std::string& path, const skylark::input_error* error) {
    if (!error) {
        std::cout << path << ": good\n";
        return 0;
    }
    std::cerr << error->text() << '\n';
    return exit_bad;
}

int check_document(const std::string& path) {
    const std::ifstream in{path};
    if (!in) {
        const skylark::input_error error{path, "a file that cannot be read",
                                         "a configuration document"};
        return report(path, &error);
    }
    std::stringstream text;
    text << in.rdbuf();
    const auto read = skylark::parse_document(text.str());
    return report(path, read ? nullptr : &read.error());
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Checks settings and configuration documents"};
    app.set_version_flag("--version", std::string{skylark::version});
    std::string settings;
    std::string document;
    auto* which = app.add_option_group("what");
    which->add_option("--settings", settings, "TOML settings of an entry");
    which->add_option("--document", document, "JSON configuration document");
    which->require_option(1);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_usage;
    }
    if (!document.empty())
        return check_document(document);
    const auto read = skylark::entry::load_settings(settings);
    return report(settings, read ? nullptr : &read.error());
}
