// Command line of the overload model: prints what callers get, by second.
#include <iostream>

#include <CLI/CLI.hpp>

#include "standin/overload_model.hpp"

namespace {

void add_duration(CLI::App& app, const std::string& name,
                  skylark::duration& out, const std::string& help) {
    app.add_option_function<std::uint32_t>(
           name,
           [&out](const std::uint32_t& ms) {
               out = std::chrono::milliseconds{ms};
           },
           help)
        ->check(CLI::Range(1, 600'000));
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Plays a load on a service in virtual time and prints, for "
                 "each second, what the callers got that first asked in it"};
    standin::overload_scenario what;
    constexpr double most_load = 10.0;
    app.add_option("--entries", what.m_entries)->check(CLI::Range(1, 1000));
    app.add_option("--upstreams", what.m_upstreams)->check(CLI::Range(1, 1000));
    app.add_option("--slots", what.m_slots, "of each upstream")
        ->check(CLI::Range(1, 1000));
    app.add_option("--load", what.m_load, "1: what can be answered in time")
        ->check(CLI::Range(0.01, most_load));
    app.add_option("--burst", what.m_burst_load, "load from second 4 to 8")
        ->check(CLI::Range(0.01, most_load));
    app.add_option("--slow-share", what.m_slow_share)
        ->check(CLI::Range(0.0, 0.9));
    app.add_option("--slow-factor", what.m_slow_factor)
        ->check(CLI::Range(1.0, 100.0));
    app.add_option("--saturation", what.m_saturation_slowdown,
                   "slowdown while all slots are in use")
        ->check(CLI::Range(0.0, 2.0));
    app.add_option("--refuse-share", what.m_refuse_share,
                   "refused by upstreams whatever their load")
        ->check(CLI::Range(0.0, 1.0));
    app.add_option("--silent", what.m_silent, "upstreams without power");
    app.add_option("--falsely-unhealthy", what.m_falsely_unhealthy,
                   "upstreams that are well and say the contrary");
    add_duration(app, "--work-ms", what.m_work, "of a request");
    add_duration(app, "--target-ms", what.m_target, "of the callers");
    add_duration(app, "--deadline-ms", what.m_deadline, "longest one");
    app.add_option("--seed", what.m_seed);
    CLI11_PARSE(app, argc, argv);
    if (what.m_silent + what.m_falsely_unhealthy >= what.m_upstreams) {
        std::cerr << "--silent " << what.m_silent << " --falsely-unhealthy "
                  << what.m_falsely_unhealthy << ": expected fewer than the "
                  << what.m_upstreams << " upstreams\n";
        return 2;
    }
    const standin::overload_result result = standin::play(what);
    std::cout << "second,asked,in_time,late,refused\n";
    for (std::size_t i = 0; i < result.m_seconds.size(); ++i) {
        const standin::overload_second& item = result.m_seconds[i];
        std::cout << i << ',' << item.m_asked << ',' << item.m_in_time << ','
                  << item.m_late << ',' << item.m_refused << '\n';
    }
}
