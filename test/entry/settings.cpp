// Settings are checked key by key; errors name file, line, value.
#include "entry/settings.hpp"

#include <gtest/gtest.h>

using namespace skylark;

namespace {

const std::string good = "name = \"e1\"\n"
                         "zone = \"enna\"\n"
                         "callers = \"127.0.0.1:1\"\n"
                         "control = \"127.0.0.1:2\"\n"
                         "peer = \"127.0.0.1:3\"\n"
                         "platform = \"127.0.0.1:4\"\n";

void expect_error(const std::string& text, const std::string& part) {
    const auto read = entry::parse_settings(text, "e.toml");
    ASSERT_FALSE(read) << text;
    EXPECT_NE(read.error().text().find(part), std::string::npos)
        << read.error().text();
}

} // namespace

TEST(settings, reads_all_keys) {
    const auto read = entry::parse_settings(
        good + "seeds = [\"127.0.0.2:3\"]\nheartbeat_ms = 100\n"
               "apply_limit_ms = 3000\ninput_bytes = 1000000\n"
               "pipelined_requests = 3\n",
        "e.toml");
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_EQ(read.value().m_name, "e1");
    ASSERT_EQ(read.value().m_seeds.size(), 1U);
    EXPECT_EQ(read.value().m_timing.m_period, milliseconds{100});
    EXPECT_EQ(read.value().m_apply_limit, milliseconds{3000});
    EXPECT_EQ(read.value().m_input_bytes, 1'000'000U);
    EXPECT_EQ(read.value().m_pipelined_requests, 3U);
}

// Work that takes longer than a fixed limit must not be cut while there is
// time.
TEST(settings, a_shutdown_uses_the_time_until_the_process_is_killed) {
    for (const auto& [grace, least] :
         {std::pair{"6", 5000}, {"10", 8400}, {"2.5", 2100}}) {
        const auto read = entry::parse_settings(
            good + "killed_after_s = " + grace + "\n", "e.toml");
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_GE(read.value().m_drain_limit, milliseconds{least});
        EXPECT_LT(to_ms(read.value().m_drain_limit),
                  static_cast<std::int64_t>(std::stod(grace) * 1000));
    }
    expect_error(good + "killed_after_s = 0\n", "got killed_after_s = 0");
    expect_error(good + "killed_after_s = \"6\"\n", "number of seconds");
}

// What ends until 1 s after the grace still belongs to the stop before.
TEST(settings, the_stop_before_counts_until_the_supervisor_has_forgotten_it) {
    for (const auto& [lines, settling] :
         {std::pair{"", 3000},
          {"killed_after_s = 6\n", 7000},
          {"killed_after_s = 6\nentries_ttl_ms = 1000\n", 7000},
          {"killed_after_s = 1\n", 3000},
          {"killed_after_s = 3600\n", 30'000}}) {
        const auto read = entry::parse_settings(good + lines, "e.toml");
        ASSERT_TRUE(read) << read.error().text();
        EXPECT_EQ(to_ms(read.value().m_settling_time), settling) << lines;
    }
}

TEST(settings, names_place_value_and_expectation) {
    expect_error("name = \"e1\"\n", "e.toml: got no key zone");
    expect_error(good + "seeds = 3\n", "e.toml:7: got seeds = 3");
    expect_error(good + "seeds = [\"x\"]\n", "e.toml:7: got \"x\"");
    expect_error(good + "seed = \"x\"\n", "whole number");
    expect_error(good + "heartbaet_ms = 3\n", "\"heartbeat_ms\" perhaps");
    expect_error(good + "log_level = \"inof\"\n", "\"info\" perhaps");
    expect_error(good + "share_hold_down_ms = 1000\n",
                 "share_hold_down_ms = 1000");
    expect_error("name = \n", "e.toml:1: got");
    expect_error(good + "lookup = \"\"\n", "e.toml:7: got \"\"");
    expect_error(good + "deployment = \"plaform\"\n", "\"platform\" perhaps");
    expect_error(good + "zones = [1]\n", "array of strings");
    expect_error(good + "bootstrap = 1\n", "true or false");
    expect_error(good + "cores = 0\n", "got cores = 0");
    expect_error(good + "cores = \"x\"\n", "number of cores");
    expect_error(good + "zone_price = -1\n", "got zone_price = -1");
    expect_error(good + "zone_price = 60001\n", "up to 60000");
    expect_error(good + "zone_price = 0.5\n", "whole number");
}

TEST(settings, refuses_an_empty_address) {
    const std::string key = "callers = \"127.0.0.1:1\"";
    std::string text = good;
    text.replace(text.find(key), key.size(), "callers = \"\"");
    expect_error(text, "e.toml:3: got \"\"");
}

TEST(settings, times_of_any_length_stay_in_range) {
    const auto read = entry::parse_settings(
        good + "apply_limit_ms = 18446744073709552\n", "e.toml");
    ASSERT_TRUE(read) << read.error().text();
    EXPECT_GT(read.value().m_apply_limit, std::chrono::hours{24 * 365});
    EXPECT_LT(read.value().m_apply_limit, std::chrono::hours{24 * 36500});
}

// Without the key, zones are chosen as before it existed.
TEST(settings, zones_have_no_price_unless_one_is_set) {
    const auto price = [](const std::string& line) {
        const auto read = entry::parse_settings(good + line, "e.toml");
        return read ? read.value().m_zone_price : duration{-1};
    };
    EXPECT_EQ(price(""), duration{0});
    EXPECT_EQ(price("zone_price = 0\n"), duration{0});
    EXPECT_EQ(price("zone_price = 20\n"), milliseconds{20});
}

// 32 MB for each kind are most of what a machine of 64 MB has.
TEST(settings, buffers_leave_room_on_a_small_machine) {
    constexpr std::uint64_t mb = std::uint64_t{1} << 20U;
    const auto bytes = [](std::uint64_t machine, const std::string& lines) {
        const auto read =
            entry::parse_settings(good + lines, "e.toml", machine);
        EXPECT_TRUE(read) << read.error().text();
        return std::pair{read.value().m_input_bytes,
                         read.value().m_answer_bytes};
    };
    const std::size_t most = defaults::answer_bytes;
    EXPECT_EQ(bytes(0, ""), std::pair(defaults::input_bytes, most));
    EXPECT_EQ(bytes(50 * mb, ""), std::pair(10 * mb, 10 * mb));
    EXPECT_EQ(bytes(1000 * mb, ""), std::pair(defaults::input_bytes, most));
    EXPECT_EQ(bytes(50 * mb, "answer_bytes = 30000000\n"),
              std::pair(10 * mb, std::uint64_t{30'000'000}));
}
