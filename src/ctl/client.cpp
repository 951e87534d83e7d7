// Asks entries over HTTP.
#include "ctl/client.hpp"

#include <algorithm>
#include <iostream>

#include "ctl/answer_reader.hpp"
#include "io/http_status.hpp"

namespace skylark::ctl {

namespace {
constexpr std::size_t answer_limit = std::size_t{64} << 20U; // bytes
constexpr auto turn = milliseconds{50};
} // namespace

namespace internal {

static std::vector<address> control_addresses(const nlohmann::json& tree) {
    const auto& columns = tree.at("columns");
    const auto column = static_cast<std::size_t>(
        std::find(columns.begin(), columns.end(), "address") - columns.begin());
    std::vector<address> out;
    for (const auto& row : tree.at("rows")) {
        const auto where =
            parse_address(row.at(column).get<std::string>(), "show entries");
        if (where)
            out.push_back(where.value());
    }
    return out;
}

} // namespace internal

client::client(std::vector<address> known, duration timeout)
    : m_fetcher{m_loop, answer_limit}, m_entries{std::move(known)},
      m_timeout{timeout} {}

void client::run_until(const bool& done) {
    while (!done)
        m_loop.run_once(turn);
}

std::optional<entry_answer> client::ask_any(io::fetch_request what) {
    what.m_timeout = m_timeout;
    bool may_have_run = false;
    for (const address entry : m_entries) {
        what.m_to = entry;
        bool done = false;
        entry_answer out{entry, io::fetch_failure{}, may_have_run};
        m_fetcher.run(what, [&](const io::fetch_result& result) {
            out.m_result = result;
            done = true;
        });
        run_until(done);
        if (out.answer())
            return out;
        may_have_run |=
            std::get<io::fetch_failure>(out.m_result).m_may_have_run;
    }
    return std::nullopt;
}

std::vector<entry_answer> client::ask_all(const io::fetch_request& what) {
    std::vector<entry_answer> out;
    for (const address entry : m_entries)
        out.push_back({entry, io::fetch_failure{}});
    std::size_t open = out.size();
    bool done = open == 0;
    for (std::size_t i = 0; i < out.size(); ++i) {
        io::fetch_request request = what;
        request.m_to = out[i].m_entry;
        request.m_timeout = m_timeout;
        m_fetcher.run(request, [&, i](const io::fetch_result& result) {
            out[i].m_result = result;
            done = --open == 0;
        });
    }
    run_until(done);
    return out;
}

bool client::discover() {
    io::fetch_request request;
    request.m_method = "POST";
    request.m_path = "/query";
    request.m_body = "show entries";
    const auto got = ask_any(request);
    if (!got) {
        std::cerr << "no entry answered\n";
        return false;
    }
    if (const int status = got->answer()->m_status; status != io::status::ok) {
        std::cerr << "answer of " << got->m_entry.text() << ": status "
                  << status << " to " << request.m_body << '\n';
        return false;
    }
    auto found = read_answer(*got, "a table with a column address",
                             internal::control_addresses);
    if (!found) {
        std::cerr << found.error().text() << '\n';
        return false;
    }
    std::sort(found.value().begin(), found.value().end());
    m_entries = std::move(found).value();
    return true;
}

void client::wait(duration length) {
    bool done = false;
    m_loop.after(length, [&] { done = true; });
    run_until(done);
}

} // namespace skylark::ctl
