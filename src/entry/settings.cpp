// Settings of one entry instance, read from a TOML file and checked.
#include "entry/settings.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include <toml++/toml.h>

#include "entry/process_memory.hpp"
#include "entry/settings_check.hpp"
#include "entry/toml_reader.hpp"

namespace skylark::entry {

namespace {

constexpr double most_cores = 1024.0; // far above any instance
constexpr double most_grace = 3600.0; // seconds; far above any stop
// Part of the time until a process is killed that a shutdown may use.
constexpr double drain_share = 11.0 / 12.0;
constexpr auto most_settling = seconds{30};
// Largest part of the machine's memory for each kind of buffered bytes.
constexpr std::uint64_t buffered_part = 5;

// Supervisors count until 1 s after they kill, from the last signal, which may
// come just before the process ends.
duration settling_time(duration killed_after) {
    return std::clamp<duration>(killed_after + seconds{1},
                                settings{}.m_settling_time, most_settling);
}

constexpr std::array<std::string_view, 5> log_levels{"debug", "info", "warn",
                                                     "error", "off"};
constexpr std::array<std::string_view, 2> deployments{"native", "platform"};

// Defaults that a small machine has room for.
void bound_buffers(settings& out) {
    if (out.m_machine_memory == 0)
        return;
    const auto most =
        static_cast<std::size_t>(out.m_machine_memory / buffered_part);
    out.m_input_bytes = std::min(out.m_input_bytes, most);
    out.m_answer_bytes = std::min(out.m_answer_bytes, most);
}

parsed<settings> read_table(const toml::table& table, std::string_view file,
                            std::uint64_t machine_memory) {
    toml_reader reader{table, file};
    settings out;
    out.m_machine_memory = machine_memory;
    bound_buffers(out);
    reader.text("name", out.m_name, true);
    reader.text("zone", out.m_zone, true);
    reader.text("region", out.m_region, false);
    reader.ms("zone_price", out.m_zone_price);
    std::string deployed{deployments.front()};
    reader.one_of("deployment", deployed, deployments);
    out.m_deployment =
        deployed == "native" ? deployment::native : deployment::platform;
    reader.texts("zones", out.m_zones);
    std::int64_t questions = out.m_questions_per_upstream;
    reader.whole("questions_per_upstream", questions);
    out.m_questions_per_upstream = static_cast<std::uint32_t>(questions);
    reader.where("callers", out.m_callers, true);
    reader.where("lookup", out.m_lookup);
    reader.where("ready", out.m_ready);
    reader.where("control", out.m_control, true);
    reader.where("peer", out.m_peer, true);
    reader.where("platform", out.m_platform, true);
    reader.addresses("seeds", out.m_seeds);
    reader.number("cores", out.m_cores, most_cores,
                  "a number of cores above 0, up to 1024");
    reader.flag("bootstrap", out.m_bootstrap);
    reader.one_of("log_level", out.m_log_level, log_levels);
    std::int64_t seed = 0;
    reader.whole("seed", seed);
    out.m_seed = static_cast<std::uint64_t>(seed);
    reader.ms("heartbeat_ms", out.m_timing.m_period);
    reader.ms("share_self_stop_ms", out.m_timing.m_self_stop);
    reader.ms("share_hold_down_ms", out.m_timing.m_hold_down);
    reader.ms("isolation_limit_ms", out.m_isolation_limit);
    reader.ms("entries_ttl_ms", out.m_entries_ttl);
    double killed_after = 0.0;
    reader.number("killed_after_s", killed_after, most_grace,
                  "a number of seconds above 0, up to 3600");
    if (killed_after > 0.0) {
        const auto within = [&](double share) {
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>{killed_after * share});
        };
        out.m_drain_limit = within(drain_share);
        out.m_settling_time = settling_time(within(1.0));
    }
    reader.ms("drain_limit_ms", out.m_drain_limit);
    reader.ms("apply_limit_ms", out.m_apply_limit);
    reader.bytes("input_bytes", out.m_input_bytes);
    reader.bytes("answer_bytes", out.m_answer_bytes);
    reader.bytes("pipelined_requests", out.m_pipelined_requests);
    if (auto error = reader.finish())
        return *std::move(error);
    if (auto error = check_values(out, file))
        return *std::move(error);
    return out;
}

} // namespace

parsed<settings> parse_settings(std::string_view text, std::string_view file,
                                std::uint64_t machine_memory) {
    try {
        const toml::table table = toml::parse(text, std::string{file});
        return read_table(table, file, machine_memory);
    } catch (const toml::parse_error& error) {
        const auto line = std::to_string(error.source().begin.line);
        return input_error{std::string{file} + ":" + line,
                           std::string{error.description()}, "valid TOML"};
    }
}

parsed<settings> load_settings(const std::string& path) {
    const std::ifstream in{path};
    if (!in)
        return input_error{path, "a file that cannot be read",
                           "a settings file"};
    std::stringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), path, read_machine_memory().value_or(0));
}

} // namespace skylark::entry
