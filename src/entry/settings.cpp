// Settings of one entry instance, read from a TOML file and checked.
#include "entry/settings.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <sstream>

#include <toml++/toml.h>

#include <skylark/core/suggest.hpp>

#include "core/bounded_ms.hpp"
#include "entry/settings_check.hpp"

namespace skylark::entry {

namespace {

constexpr double most_cores = 1024.0; // far above any instance
constexpr double most_grace = 3600.0; // seconds; far above any stop
// Part of the time until a process is killed that a shutdown may use.
constexpr double drain_share = 11.0 / 12.0;
constexpr auto most_settling = seconds{30};

// Supervisors count until 1 s after they kill, from the last signal, which may
// come just before the process ends.
duration settling_time(duration killed_after) {
    return std::clamp<duration>(killed_after + seconds{1},
                                settings{}.m_settling_time, most_settling);
}

// Reads one table; keeps the first error and the keys that were asked for.
class toml_reader {
public:
    toml_reader(const toml::table& table, std::string_view file)
        : m_table{table}, m_file{file} {}

    void text(std::string_view key, std::string& out, bool required) {
        const toml::node* node = take(key, required);
        if (!node)
            return;
        if (const auto value = node->value_exact<std::string>())
            out = *value;
        else
            fail(*node, key, "a string");
    }

    void where(std::string_view key, address& out, bool required) {
        std::string written;
        text(key, written, required);
        if (m_error || !m_table.contains(key))
            return;
        const auto value = parse_address(written, place(*m_table.get(key)));
        if (value)
            out = value.value();
        else
            m_error = m_error ? m_error : value.error();
    }

    void where(std::string_view key, std::optional<address>& out) {
        address value;
        where(key, value, false);
        if (!m_error && m_table.contains(key))
            out = value;
    }

    void texts(std::string_view key, std::vector<std::string>& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const toml::array* list = node->as_array();
        if (!list) {
            fail(*node, key, "an array of strings");
            return;
        }
        for (const toml::node& item : *list) {
            const auto value = item.value_exact<std::string>();
            if (value)
                out.push_back(*value);
            else
                fail(item, key, "an array of strings");
        }
    }

    void ms(std::string_view key, duration& out) {
        std::int64_t value = to_ms(out);
        whole(key, value);
        out = bounded_ms(value);
    }

    void whole(std::string_view key, std::int64_t& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= 0)
            out = *value;
        else
            fail(*node, key, "a whole number from 0 up");
    }

    void flag(std::string_view key, bool& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        if (const auto value = node->value_exact<bool>())
            out = *value;
        else
            fail(*node, key, "true or false");
    }

    void bytes(std::string_view key, std::size_t& out) {
        auto value = static_cast<std::int64_t>(out);
        whole(key, value);
        out = static_cast<std::size_t>(value);
    }

    // A number above 0, whole or not.
    void number(std::string_view key, double& out, double most,
                std::string expected) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const auto value = node->value<double>();
        if (value && *value > 0.0 && *value <= most)
            out = *value;
        else
            fail(*node, key, std::move(expected));
    }

    void addresses(std::string_view key, std::vector<address>& out) {
        const toml::node* node = take(key, false);
        if (!node)
            return;
        const toml::array* list = node->as_array();
        if (!list) {
            fail(*node, key, "an array of addresses");
            return;
        }
        for (const toml::node& item : *list) {
            const auto text = item.value_exact<std::string>();
            const auto value = parse_address(text.value_or(""), place(item));
            if (value)
                out.push_back(value.value());
            else
                m_error = m_error ? m_error : value.error();
        }
    }

    void one_of(std::string_view key, std::string& out,
                std::span<const std::string_view> known) {
        text(key, out, false);
        if (std::find(known.begin(), known.end(), out) == known.end() &&
            !m_error)
            fail(*m_table.get(key), key, expected_one_of(out, known));
    }

    std::optional<input_error> finish() {
        if (m_error)
            return m_error;
        for (const auto& [key, node] : m_table) {
            const std::string_view name = key.str();
            if (std::find(m_known.begin(), m_known.end(), name) ==
                m_known.end())
                return input_error{place(node), "key " + std::string{name},
                                   expected_one_of(name, m_known)};
        }
        return std::nullopt;
    }

private:
    std::string place(const toml::node& node) const {
        return m_file + ":" + std::to_string(node.source().begin.line);
    }

    const toml::node* take(std::string_view key, bool required) {
        m_known.push_back(key);
        const toml::node* node = m_table.get(key);
        if (!node && required && !m_error)
            m_error = input_error{m_file, "no key " + std::string{key},
                                  "a value for " + std::string{key}};
        return node;
    }

    void fail(const toml::node& node, std::string_view key,
              std::string expected) {
        std::ostringstream written;
        node.visit([&](const auto& value) {
            if constexpr (toml::is_value<decltype(value)>)
                written << value;
            else
                written << "a table or array";
        });
        if (!m_error)
            m_error = input_error{place(node),
                                  std::string{key} + " = " + written.str(),
                                  std::move(expected)};
    }

    const toml::table& m_table;
    std::string m_file;
    std::vector<std::string_view> m_known;
    std::optional<input_error> m_error;
};

constexpr std::array<std::string_view, 5> log_levels{"debug", "info", "warn",
                                                     "error", "off"};
constexpr std::array<std::string_view, 2> deployments{"native", "platform"};

parsed<settings> read_table(const toml::table& table, std::string_view file) {
    toml_reader reader{table, file};
    settings out;
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

parsed<settings> parse_settings(std::string_view text, std::string_view file) {
    try {
        const toml::table table = toml::parse(text, std::string{file});
        return read_table(table, file);
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
    return parse_settings(text.str(), path);
}

} // namespace skylark::entry
