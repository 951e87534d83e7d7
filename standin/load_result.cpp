// What a run of the load stand-in has measured.
#include "standin/load_result.hpp"

#include <cstdio>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

namespace standin {

using namespace skylark;

namespace {

double in_ms(duration of) {
    return std::chrono::duration<double, std::milli>(of).count();
}

nlohmann::json latency_json(const histogram& of) {
    return {{"count", of.count()},
            {"p50_ms", in_ms(of.quantile(0.5))},
            {"p90_ms", in_ms(of.quantile(0.9))},
            {"p99_ms", in_ms(of.quantile(0.99))},
            {"p999_ms", in_ms(of.quantile(0.999))},
            {"max_ms", in_ms(of.quantile(1.0))}};
}

template <class Ends>
nlohmann::json ends_json(const Ends& ends) {
    nlohmann::json out;
    for (std::size_t i = 0; i < call_end_names.size(); ++i)
        out[std::string{call_end_names[i]}] = ends[i];
    return out;
}

} // namespace

void flow_result::add(call_end how, duration took, std::size_t second) {
    if (second >= m_seconds.size())
        m_seconds.resize(second + 1);
    const auto column = static_cast<std::size_t>(how);
    ++m_ends[column];
    ++m_seconds[second].m_ends[column];
    if (how != call_end::answered)
        return;
    m_latency.add(took);
    m_seconds[second].m_latency.add(took);
}

void load_result::check_ledger(const std::string& folder) {
    std::map<std::string, std::uint64_t> executed;
    for (const auto& file : std::filesystem::directory_iterator{folder}) {
        std::ifstream in{file.path()};
        std::string key;
        while (std::getline(in, key))
            ++executed[key];
    }
    for (const auto& [key, how] : m_keys) {
        ++m_ledger.m_keys;
        const auto found = executed.find(key);
        const bool ran = found != executed.end();
        m_ledger.m_doubled += ran && found->second > 1 ? 1 : 0;
        m_ledger.m_false_refusals += ran && how == call_end::not_run ? 1 : 0;
        m_ledger.m_lost += !ran && how == call_end::answered ? 1 : 0;
    }
}

std::string load_result::table() const {
    std::string out =
        "flow          calls    p50 ms   p99 ms p99.9 ms  failed not-run"
        " unknown  broken repeated\n";
    constexpr std::size_t line_size = 256;
    std::array<char, line_size> line{};
    for (const auto& item : m_flows) {
        const flow_result& of = item.second;
        const auto end = [&](call_end how) {
            return static_cast<unsigned long>(
                of.m_ends[static_cast<std::size_t>(how)]);
        };
        std::snprintf(line.data(), line.size(),
                      "%-12s %6lu %9.2f %8.2f %8.2f %7lu %7lu %7lu %7lu "
                      "%8lu\n",
                      item.first.c_str(),
                      static_cast<unsigned long>(of.m_latency.count()),
                      in_ms(of.m_latency.quantile(0.5)),
                      in_ms(of.m_latency.quantile(0.99)),
                      in_ms(of.m_latency.quantile(0.999)),
                      end(call_end::failed), end(call_end::not_run),
                      end(call_end::unknown), end(call_end::broken),
                      static_cast<unsigned long>(of.m_repeated));
        out += line.data();
    }
    std::snprintf(line.data(), line.size(),
                  "keyed requests %lu: executed more than once %lu, told "
                  "not-run but executed %lu, answered but not executed %lu; "
                  "wrong answers %lu\n",
                  static_cast<unsigned long>(m_ledger.m_keys),
                  static_cast<unsigned long>(m_ledger.m_doubled),
                  static_cast<unsigned long>(m_ledger.m_false_refusals),
                  static_cast<unsigned long>(m_ledger.m_lost),
                  static_cast<unsigned long>(m_wrong_answers));
    return out + line.data();
}

std::string load_result::json() const {
    nlohmann::json out;
    for (const auto& [name, of] : m_flows) {
        nlohmann::json flow{{"latency", latency_json(of.m_latency)},
                            {"ends", ends_json(of.m_ends)},
                            {"repeated", of.m_repeated},
                            {"seconds", nlohmann::json::array()}};
        for (const second_result& second : of.m_seconds)
            flow["seconds"].push_back(
                {{"latency", latency_json(second.m_latency)},
                 {"ends", ends_json(second.m_ends)}});
        out["flows"][name] = flow;
    }
    out["ledger"] = {{"keys", m_ledger.m_keys},
                     {"doubled", m_ledger.m_doubled},
                     {"false_refusals", m_ledger.m_false_refusals},
                     {"lost", m_ledger.m_lost}};
    out["wrong_answers"] = m_wrong_answers;
    constexpr int indent = 1;
    return out.dump(indent);
}

} // namespace standin
