// skylark-ctl: the operators' client.
#include <iostream>
#include <string>
#include <vector>

#include <CLI/CLI.hpp>

#include <skylark/config/config.hpp>

#include "ctl/client.hpp"
#include "ctl/query_command.hpp"
#include "ctl/timeline.hpp"

namespace {

using namespace skylark;
using namespace skylark::ctl;

struct command_line {
    std::vector<std::string> m_entries;
    std::string m_statement;
    std::int64_t m_timeout_ms{3000};
    query_options m_query;
    timeline_options m_timeline;
    double m_wait_s{11.0};
};

exit_code run_lines(query_command& command) {
    exit_code worst = exit_code::good;
    std::string line;
    for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        const exit_code end = command.run(line);
        if (end != exit_code::good)
            std::cerr << "line " << number << ": " << line << '\n';
        worst = worse(worst, end);
    }
    return worst;
}

exit_code run(command_line& options, bool timeline) {
    std::vector<address> known;
    for (const std::string& text : options.m_entries) {
        const auto where = parse_address(text, "--entry");
        if (!where) {
            std::cerr << where.error().text() << '\n';
            return exit_code::usage;
        }
        known.push_back(where.value());
    }
    client entries{known, milliseconds{options.m_timeout_ms}};
    if (timeline)
        return print_timeline(entries, options.m_timeline);
    options.m_query.m_wait_limit =
        milliseconds{static_cast<std::int64_t>(options.m_wait_s * 1000)};
    query_command command{entries, options.m_query};
    if (!options.m_statement.empty())
        return command.run(options.m_statement);
    return run_lines(command);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Operators' client of skylarkspindle.\n"
                 "Without a statement it reads one from each input line."};
    command_line options;
    app.set_version_flag("--version", std::string{skylark::version});
    app.add_option("--entry", options.m_entries,
                   "control address of an entry, may be repeated")
        ->envname("SKYLARK_ENTRY")
        ->allow_extra_args(false)
        ->delimiter(',')
        ->required();
    app.add_option("statement", options.m_statement,
                   "such as: show zones; drain zone Z; "
                   "explain request GET /stock");
    app.add_option("--timeout-ms", options.m_timeout_ms, "for each answer");
    app.add_flag("--json", options.m_query.m_json, "answers as JSON");
    app.add_flag("--wait", options.m_query.m_wait,
                 "until a change is in force everywhere");
    app.add_option("--wait-s", options.m_wait_s, "longest wait");
    app.add_option("--if-revision", options.m_query.m_if_revision,
                   "change only this revision");
    auto* timeline = app.add_subcommand("timeline", "events of all entries");
    timeline->add_option("--since", options.m_timeline.m_since_s,
                         "only the last so many seconds");
    timeline->add_option("--kind", options.m_timeline.m_kind,
                         "only this kind of event");
    timeline->add_flag("--json", options.m_timeline.m_json, "as JSON");
    timeline->add_flag("--html", options.m_timeline.m_html, "as a page");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const bool good = app.exit(error) == 0;
        return good ? 0 : static_cast<int>(exit_code::usage);
    }
    const exit_code end = run(options, timeline->parsed());
    std::cout.flush();
    std::_Exit(static_cast<int>(end));
}
