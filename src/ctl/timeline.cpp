// Merges the events of all entries into one time line.
#include "ctl/timeline.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <iterator>
#include <tuple>

#include <nlohmann/json.hpp>

#include <skylark/event/hybrid_clock.hpp>

#include "core/json_text.hpp"
#include "ctl/answer_reader.hpp"

namespace skylark::ctl {

namespace {

std::uint64_t wall_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

// Events of one entry, in its order.
timeline_data read_events(const nlohmann::json& tree,
                          const timeline_options& options) {
    timeline_data out;
    const auto entry = text_in(tree.at("entry"));
    if (const auto lost = count_at(tree, "lost"); lost > 0)
        out.m_gaps.push_back(entry + " lost its " + std::to_string(lost) +
                             " oldest events");
    const std::uint64_t since =
        options.m_since_s == 0
            ? 0
            : wall_ms() - static_cast<std::uint64_t>(options.m_since_s) * 1000;
    for (const auto& item : tree.at("events")) {
        timeline_row row{
            count_at(item, "stamp"),     entry,
            count_at(item, "sequence"),  text_in(item.at("kind")),
            text_in(item.at("subject")), text_in(item.at("detail"))};
        const bool wanted =
            options.m_kind.empty() || row.m_kind == options.m_kind;
        if (wanted && (row.m_stamp >> hybrid_clock::counter_bits) >= since)
            out.m_rows.push_back(std::move(row));
    }
    return out;
}

void append(timeline_data part, timeline_data& out) {
    std::move(part.m_rows.begin(), part.m_rows.end(),
              std::back_inserter(out.m_rows));
    std::move(part.m_gaps.begin(), part.m_gaps.end(),
              std::back_inserter(out.m_gaps));
}

void print_text(const timeline_data& data) {
    for (const timeline_row& row : data.m_rows)
        std::cout << row.time() << "  " << row.m_entry << "  " << row.m_kind
                  << "  " << row.m_subject << "  " << row.m_detail << '\n';
}

void print_json(const timeline_data& data) {
    nlohmann::json out{{"gaps", data.m_gaps},
                       {"events", nlohmann::json::array()}};
    for (const timeline_row& row : data.m_rows)
        out["events"].push_back({{"stamp", row.m_stamp},
                                 {"time", row.time()},
                                 {"entry", row.m_entry},
                                 {"sequence", row.m_sequence},
                                 {"kind", row.m_kind},
                                 {"subject", row.m_subject},
                                 {"detail", row.m_detail}});
    std::cout << json_text(out, 1) << '\n';
}

} // namespace

std::string timeline_row::time() const {
    constexpr std::uint64_t ms_in_s = 1000;
    const std::uint64_t ms = m_stamp >> hybrid_clock::counter_bits;
    const auto whole = static_cast<std::time_t>(ms / ms_in_s);
    std::tm parts{};
    gmtime_r(&whole, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(ms_in_s + ms % ms_in_s);
    return std::string{text.data()} + '.' + fraction.substr(1);
}

exit_code print_timeline(client& entries, const timeline_options& options) {
    if (!entries.discover())
        return exit_code::unreachable;
    io::fetch_request request;
    request.m_path = "/events";
    timeline_data data;
    exit_code end = exit_code::good;
    for (const entry_answer& item : entries.ask_all(request)) {
        if (!item.answer()) {
            data.m_gaps.push_back("no answer from " + item.m_entry.text());
            continue;
        }
        auto read =
            read_answer(item, "events of an entry", [&](const auto& tree) {
                return read_events(tree, options);
            });
        if (read) {
            append(std::move(read).value(), data);
        } else {
            data.m_gaps.push_back(read.error().text());
            end = exit_code::unreachable;
        }
    }
    std::sort(data.m_rows.begin(), data.m_rows.end(),
              [](const timeline_row& left, const timeline_row& right) {
                  return std::tie(left.m_stamp, left.m_entry) <
                         std::tie(right.m_stamp, right.m_entry);
              });
    if (options.m_html)
        std::cout << timeline_page(data);
    else if (options.m_json)
        print_json(data);
    else
        print_text(data);
    for (const std::string& gap : data.m_gaps)
        std::cerr << "gap: " << gap << '\n';
    return end;
}

} // namespace skylark::ctl
