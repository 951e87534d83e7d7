// Reading of experiment files.
#include "standin/experiment.hpp"

#include <toml++/toml.h>

namespace standin {

using namespace skylark;

namespace {

flow read_flow(const toml::table& from) {
    flow out;
    out.m_name = from["name"].value_or("flow");
    out.m_method = from["method"].value_or("GET");
    out.m_path = from["path"].value_or("/");
    out.m_header = from["header"].value_or("");
    out.m_rate = from["rate"].value_or(1.0);
    out.m_keyed = from["keyed"].value_or(false);
    out.m_deadline_ms = from["deadline_ms"].value_or(out.m_deadline_ms);
    out.m_body_bytes = from["body_bytes"].value_or(out.m_body_bytes);
    out.m_from_s = from["from_s"].value_or(out.m_from_s);
    out.m_until_s = from["until_s"].value_or(out.m_until_s);
    out.m_read_bytes = from["read_bytes"].value_or(out.m_read_bytes);
    return out;
}

parsed<experiment> read_table(const toml::table& from,
                              const std::string& path) {
    experiment out;
    out.m_duration_s = from["duration_s"].value_or(out.m_duration_s);
    out.m_warmup_s = from["warmup_s"].value_or(out.m_warmup_s);
    out.m_seed = from["seed"].value_or(out.m_seed);
    out.m_callers_per_zone =
        from["callers_per_zone"].value_or(out.m_callers_per_zone);
    out.m_direct = from["direct"].value_or(false);
    if (const auto* zones = from["zones"].as_array())
        for (const auto& item : *zones)
            out.m_zones.push_back(item.value_or(std::string{}));
    if (const auto* entries = from["entries"].as_array()) {
        for (const auto& item : *entries) {
            BOOST_OUTCOME_TRY(
                where, parse_address(item.value_or(""), path + ": entries"));
            out.m_entries.push_back(where);
        }
    }
    if (const auto* flows = from["flow"].as_array())
        for (const auto& item : *flows)
            if (const auto* table = item.as_table())
                out.m_flows.push_back(read_flow(*table));
    if (out.m_flows.empty() || out.m_zones.empty() || out.m_entries.empty())
        return input_error{path, "no flow, zones or entries",
                           "at least one [[flow]], zone and entry"};
    return out;
}

} // namespace

parsed<experiment> load_experiment(const std::string& path) {
    try {
        return read_table(toml::parse_file(path), path);
    } catch (const toml::parse_error& error) {
        const auto line = std::to_string(error.source().begin.line);
        return input_error{path + ":" + line, std::string{error.description()},
                           "valid TOML"};
    }
}

} // namespace standin
