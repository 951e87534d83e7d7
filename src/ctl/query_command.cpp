// Runs one statement of the operators' language and prints the answer.
#include "ctl/query_command.hpp"

#include <chrono>
#include <iostream>
#include <optional>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

#include <skylark/command/parse.hpp>

#include "core/json_text.hpp"
#include "ctl/answer_reader.hpp"
#include "ctl/shown_table.hpp"
#include "io/http_status.hpp"

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

// Entries of another version may have other columns; false if they do.
bool append(const shown_table& part, table& out) {
    std::vector<std::string> columns{"entry"};
    columns.insert(columns.end(), part.m_table.m_columns.begin(),
                   part.m_table.m_columns.end());
    if (out.m_columns.empty())
        out.m_columns = std::move(columns);
    else if (out.m_columns != columns)
        return false;
    for (auto row : part.m_table.m_rows) {
        row.insert(row.begin(), part.m_entry);
        out.m_rows.push_back(std::move(row));
    }
    return true;
}

void print_silent(const std::vector<entry_answer>& answers) {
    for (const entry_answer& item : answers)
        if (const auto* failure =
                std::get_if<io::fetch_failure>(&item.m_result))
            std::cerr << "no answer from " << item.m_entry.text() << " ("
                      << failure->m_cause << ")\n";
}

} // namespace

namespace internal {

static std::string refusal_text(const nlohmann::json& tree) {
    if (!tree.contains("error"))
        return json_text(tree);
    const auto& error = tree.at("error");
    const input_error why{text_in(error.at("place")),
                          text_in(error.at("value")),
                          text_in(error.at("expected"))};
    return why.text() + "; in force: revision " +
           std::to_string(count_at(tree, "in_force"));
}

// How far a change has come.
struct spread {
    std::uint64_t m_in_force;
    std::uint64_t m_members;
    std::vector<std::string> m_behind; // one line for each entry
    nlohmann::json m_tree;
};

static spread spread_of(const nlohmann::json& tree) {
    spread out{count_at(tree, "in_force"), count_at(tree, "members"), {}, tree};
    for (const auto& item : tree.at("behind"))
        out.m_behind.push_back(text_in(item.at("entry")) + " at revision " +
                               json_text(item.at("revision")) + ", heard " +
                               json_text(item.at("heard_ms_ago")) + " ms ago");
    return out;
}

static void print_accepted(std::uint64_t revision,
                           const std::optional<spread>& state) {
    std::cout << "accepted at revision " << revision;
    if (state)
        std::cout << ", in force on " << state->m_in_force << " of "
                  << state->m_members;
    std::cout << '\n';
    if (state)
        for (const std::string& line : state->m_behind)
            std::cout << "  behind: " << line << '\n';
}

} // namespace internal

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

exit_code query_command::print_refusal(const entry_answer& from) const {
    const io::fetch_answer& answer = *from.answer();
    const auto why = read_answer(from, "an error with place, value, expected",
                                 internal::refusal_text);
    if (!why) {
        std::cerr << "status " << answer.m_status << ", " << why.error().text()
                  << '\n';
        return exit_code::unknown;
    }
    std::cerr << (m_options.m_json ? answer.m_body : why.value()) << '\n';
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
        if (!m_client.discover())
            return exit_code::unreachable;
        answers = m_client.ask_all(query(line));
    } else if (auto one = m_client.ask_any(query(line))) {
        answers.push_back(std::move(*one));
    }
    table out;
    auto all = nlohmann::json::array();
    exit_code end = exit_code::good;
    for (const entry_answer& item : answers) {
        if (!item.answer())
            continue;
        if (item.answer()->m_status != io::status::ok) {
            if (print_refusal(item) == exit_code::refused)
                return exit_code::refused; // by all of them
            end = exit_code::unreachable;
            continue;
        }
        const auto read = read_table(item);
        if (!read) {
            std::cerr << read.error().text() << '\n';
            end = exit_code::unreachable;
            continue;
        }
        const shown_table& part = read.value();
        all.push_back(part.m_tree);
        if (!append(part, out)) {
            std::cerr << "answer of " << item.m_entry.text()
                      << ": other columns than those of the entries before\n";
            end = exit_code::unreachable;
        }
        if (!every_entry && !m_options.m_json)
            std::cout << "revision " << part.m_revision << ", confirmed "
                      << part.m_confirmed_ms_ago << " ms ago, from "
                      << part.m_entry << '\n';
    }
    print_silent(answers);
    if (all.empty()) {
        if (end == exit_code::good)
            std::cerr << "no entry answered\n";
        return exit_code::unreachable;
    }
    if (m_options.m_json)
        std::cout << json_text(every_entry ? all : all.front(), 1) << '\n';
    else
        std::cout << format_table(out);
    return end;
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
        const exit_code refused = print_refusal(*got);
        if (!got->m_may_have_run_before)
            return refused;
        std::cerr << "an entry that gave no answer may have made the change; "
                     "show config tells\n";
        return exit_code::unknown;
    }
    const auto revision =
        read_answer(*got, "an accepted revision", [](const auto& tree) {
            return count_at(tree, "accepted");
        });
    if (revision)
        return accepted(revision.value());
    std::cerr << revision.error().text()
              << "; show config tells whether the change was made\n";
    return exit_code::unknown;
}

exit_code query_command::accepted(std::uint64_t revision) {
    io::fetch_request request;
    request.m_path = "/in-force?revision=" + std::to_string(revision);
    const time_point end = io::event_loop::now() + m_options.m_wait_limit;
    std::optional<internal::spread> state;
    bool everywhere = false;
    bool readable = true;
    while (true) {
        if (const auto got = m_client.ask_any(request);
            got && got->answer()->m_status == io::status::ok) {
            auto read = read_answer(*got, "in_force, members and who is behind",
                                    internal::spread_of);
            readable = read.has_value();
            if (!readable) {
                std::cerr << read.error().text() << '\n';
                break;
            }
            state = std::move(read).value();
            everywhere =
                state->m_members > 0 && state->m_in_force >= state->m_members;
        }
        if (everywhere || !m_options.m_wait || io::event_loop::now() >= end)
            break;
        m_client.wait(poll_period);
    }
    if (m_options.m_json)
        std::cout << json_text({{"accepted", revision},
                                {"state", state ? state->m_tree : nullptr}},
                               1)
                  << '\n';
    else
        internal::print_accepted(revision, state);
    return readable && (everywhere || !m_options.m_wait)
               ? exit_code::good
               : exit_code::not_in_force;
}

} // namespace skylark::ctl
