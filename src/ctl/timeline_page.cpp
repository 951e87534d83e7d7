// HTML form of the time line: one self-contained page.
#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include <skylark/event/hybrid_clock.hpp>

#include "ctl/timeline.hpp"

namespace skylark::ctl {

namespace {

constexpr std::string_view page_head = R"(<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>skylarkspindle time line</title>
<style>
body{font:14px/1.4 system-ui,sans-serif;margin:1.5em;color:#222}
svg{width:100%;border:1px solid #ccc;background:#fafafa}
table{border-collapse:collapse;margin-top:1em}
td,th{padding:2px 10px;text-align:left;border-bottom:1px solid #eee}
.gap{color:#b00020;font-weight:600}
.key span{margin-right:1em}
</style></head><body><h1>Time line</h1>
)";

constexpr double width = 1200;      // pixels
constexpr double label_width = 110; // pixels
constexpr double lane_height = 18;  // pixels

std::string escape(std::string_view text) {
    std::string out;
    for (const char c : text) {
        if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else if (c == '&')
            out += "&amp;";
        else if (c == '"')
            out += "&quot;";
        else
            out += c;
    }
    return out;
}

std::string_view colour_of(std::string_view kind) {
    static const std::map<std::string_view, std::string_view> colours{
        {"started", "#2e7d32"},       {"upstream", "#1565c0"},
        {"member", "#6a1b9a"},        {"share", "#00838f"},
        {"configuration", "#ef6c00"}, {"zone", "#d84315"},
        {"drain", "#5d4037"},         {"pause", "#c62828"},
        {"isolation", "#ad1457"},     {"request", "#757575"}};
    const auto found = colours.find(kind);
    return found == colours.end() ? "#000" : found->second;
}

std::string lanes(const timeline_data& data) {
    std::map<std::string, std::size_t> rows;
    for (const timeline_row& row : data.m_rows)
        rows.emplace(row.m_entry, 0);
    std::size_t index = 0;
    for (auto& [name, lane] : rows)
        lane = index++;
    const double height = static_cast<double>(rows.size() + 1) * lane_height;
    std::string out = "<svg viewBox=\"0 0 " + std::to_string(width) + ' ' +
                      std::to_string(height) + "\">\n";
    const auto y_of = [](std::size_t lane) {
        return (static_cast<double>(lane) + 0.8) * lane_height;
    };
    for (const auto& [name, lane] : rows)
        out += "<text x=\"4\" y=\"" + std::to_string(y_of(lane) + 4) +
               "\" font-size=\"11\">" + escape(name) + "</text>\n";
    const auto ms_of = [](const timeline_row& row) {
        return static_cast<double>(row.m_stamp >> hybrid_clock::counter_bits);
    };
    const double first = ms_of(data.m_rows.front());
    const double span = std::max(1.0, ms_of(data.m_rows.back()) - first);
    constexpr double margin = 10;
    for (const timeline_row& row : data.m_rows) {
        const double x = label_width + (ms_of(row) - first) / span *
                                           (width - label_width - margin);
        out += "<circle cx=\"" + std::to_string(x) + "\" cy=\"" +
               std::to_string(y_of(rows.at(row.m_entry))) +
               "\" r=\"4\" fill=\"" + std::string{colour_of(row.m_kind)} +
               "\"><title>" + escape(row.time()) + ' ' + escape(row.m_kind) +
               ' ' + escape(row.m_subject) + ": " + escape(row.m_detail) +
               "</title></circle>\n";
    }
    return out + "</svg>\n";
}

std::string key(const timeline_data& data) {
    std::set<std::string> kinds;
    for (const timeline_row& row : data.m_rows)
        kinds.insert(row.m_kind);
    std::string out = "<p class=\"key\">";
    for (const std::string& kind : kinds)
        out += "<span style=\"color:" + std::string{colour_of(kind)} +
               "\">&#9679; " + escape(kind) + "</span>";
    return out + "</p>\n";
}

} // namespace

std::string timeline_page(const timeline_data& data) {
    std::string out{page_head};
    for (const std::string& gap : data.m_gaps)
        out += "<p class=\"gap\">gap: " + escape(gap) + "</p>\n";
    if (!data.m_rows.empty())
        out += lanes(data) + key(data);
    out += "<table><tr><th>time</th><th>entry</th><th>kind</th>"
           "<th>subject</th><th>detail</th></tr>\n";
    for (const timeline_row& row : data.m_rows)
        out += "<tr><td>" + row.time() + "</td><td>" + escape(row.m_entry) +
               "</td><td>" + escape(row.m_kind) + "</td><td>" +
               escape(row.m_subject) + "</td><td>" + escape(row.m_detail) +
               "</td></tr>\n";
    return out + "</table></body></html>\n";
}

} // namespace skylark::ctl
