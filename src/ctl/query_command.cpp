// Runs one statement of the operators' language and prints the answer.
#include "ctl/query_command.hpp"
#include "io/http_status.hpp"

#include <chrono>
#include <iostream>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <skylark/command/parse.hpp>
#include <skylark/command/table.hpp>

#include "core/json_text.hpp"

namespace skylark::ctl {

namespace {

constexpr auto poll_period = milliseconds{100};

io::fetch_request query(const std::string& line) {
    io::fetch_request out;
    out.m_method = "POST";
    out.m_path = "/query";
    out.m_body = line;
    return out;
}

// Differs between runs, so that a repeated change is recognised.
std::string new_change_id() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return "ctl-" + std::to_string(getpid()) + '-' +
           std::to_string(now.count());
}

bool shows_every_entry(show_subject subject) {
    return subject == show_subject::load || subject == show_subject::shares ||
           subject == show_subject::config || subject == show_subject::events;
}

table table_of(const nlohmann::json& tree) {
    return {tree.at("columns").get<std::vector<std::string>>(),
            tree.at("rows").get<std::vector<std::vector<std::string>>>()};
}

void print_silent(const std::vector<entry_answer>& answers) {
    for (const entry_answer& item : answers)
        if (const auto* failure =
                std::get_if<io::fetch_failure>(&item.m_result))
            std::cerr << "no answer from " << item.m_entry.text() << " ("
                      << failure->m_cause << ")\n";
}

} // namespace

exit_code query_command::run(const std::string& line) {
    const auto read = parse_statement(line);
    if (!read) {
        std::cerr << read.error().text() << '\n';
        return exit_code::refused;
    }
    if (const auto* shown = std::get_if<show_query>(&read.value()))
        return show(line, shows_every_entry(shown->m_subject));
    if (std::holds_alternative<explain_query>(read.value()))
        return show(line, false);
    return change(line);
}

exit_code query_command::print_refusal(const io::fetch_answer& answer) {
    const auto tree = nlohmann::json::parse(answer.m_body, nullptr, false);
    if (m_options.m_json || !tree.contains("error")) {
        std::cerr << answer.m_body << '\n';
    } else {
        const auto& error = tree.at("error");
        const input_error why{error.at("place"), error.at("value"),
                              error.at("expected")};
        std::cerr << why.text() << "; in force: revision "
                  << tree.at("in_force") << '\n';
    }
    switch (answer.m_status) {
    case io::status::bad_request:
    case io::status::conflict:
        return exit_code::refused;
    case io::status::gateway_timeout:
        return exit_code::unknown;
    default:
        return exit_code::unreachable;
    }
}

exit_code query_command::show(const std::string& line, bool every_entry) {
    std::vector<entry_answer> answers;
    if (every_entry) {
        m_client.discover();
        answers = m_client.ask_all(query(line));
    } else if (auto one = m_client.ask_any(query(line))) {
        answers.push_back(std::move(*one));
    }
    table out;
    auto all = nlohmann::json::array();
    for (const entry_answer& item : answers) {
        const io::fetch_answer* answer = item.answer();
        if (!answer)
            continue;
        if (answer->m_status != io::status::ok)
            return print_refusal(*answer);
        const auto tree = nlohmann::json::parse(answer->m_body);
        all.push_back(tree);
        table part = table_of(tree);
        part.m_columns.insert(part.m_columns.begin(), "entry");
        for (auto& row : part.m_rows)
            row.insert(row.begin(), tree.at("entry").get<std::string>());
        out.m_columns = part.m_columns;
        out.m_rows.insert(out.m_rows.end(), part.m_rows.begin(),
                          part.m_rows.end());
        if (!every_entry && !m_options.m_json)
            std::cout << "revision " << tree.at("revision") << ", confirmed "
                      << tree.at("confirmed_ms_ago") << " ms ago, from "
                      << tree.at("entry").get<std::string>() << '\n';
    }
    if (all.empty()) {
        std::cerr << "no entry answered\n";
        return exit_code::unreachable;
    }
    if (m_options.m_json)
        std::cout << json_text(every_entry ? all : all.front(), 1) << '\n';
    else
        std::cout << format_table(out);
    print_silent(answers);
    return exit_code::good;
}

// The change id stays the same when another entry is asked: a change that was
// made by the first is then recognised and not made again.
exit_code query_command::change(const std::string& line) {
    io::fetch_request request = query(line);
    request.m_headers.push_back({"Change-Id", new_change_id()});
    if (m_options.m_if_revision != 0)
        request.m_headers.push_back(
            {"If-Revision", std::to_string(m_options.m_if_revision)});
    const auto got = m_client.ask_any(request);
    if (!got) {
        std::cerr << "no entry answered; show config tells whether the change "
                     "was made\n";
        return exit_code::unknown;
    }
    if (got->answer()->m_status != io::status::ok) {
        const exit_code refused = print_refusal(*got->answer());
        if (!got->m_may_have_run_before)
            return refused;
        std::cerr << "an entry that gave no answer may have made the change; "
                     "show config tells\n";
        return exit_code::unknown;
    }
    const auto tree = nlohmann::json::parse(got->answer()->m_body);
    return accepted(tree.at("accepted").get<std::uint64_t>());
}

exit_code query_command::accepted(std::uint64_t revision) {
    io::fetch_request request;
    request.m_path = "/in-force?revision=" + std::to_string(revision);
    const time_point end = io::event_loop::now() + m_options.m_wait_limit;
    nlohmann::json state;
    bool everywhere = false;
    while (true) {
        if (const auto got = m_client.ask_any(request);
            got && got->answer()->m_status == io::status::ok) {
            state = nlohmann::json::parse(got->answer()->m_body);
            everywhere = state.at("in_force") == state.at("members");
        }
        if (everywhere || !m_options.m_wait || io::event_loop::now() >= end)
            break;
        m_client.wait(poll_period);
    }
    if (m_options.m_json) {
        std::cout << json_text({{"accepted", revision}, {"state", state}}, 1)
                  << '\n';
    } else {
        std::cout << "accepted at revision " << revision;
        if (!state.is_null())
            std::cout << ", in force on " << state.at("in_force") << " of "
                      << state.at("members");
        std::cout << '\n';
        if (!state.is_null())
            for (const auto& item : state.at("behind"))
                std::cout << "  behind: " << item.at("entry").get<std::string>()
                          << " at revision " << item.at("revision")
                          << ", heard " << item.at("heard_ms_ago")
                          << " ms ago\n";
    }
    return everywhere || !m_options.m_wait ? exit_code::good
                                           : exit_code::not_in_force;
}

} // namespace skylark::ctl
