// Command line of the stand-in for a server of the users' platform.
#include <iostream>
#include <optional>
#include <string>

#include <CLI/CLI.hpp>

#include "io/http_status.hpp"
#include "standin/registration.hpp"
#include "standin/server.hpp"

namespace {

using skylark::milliseconds;

struct options {
    std::string m_listen{"127.0.0.1:0"};
    std::string m_store;
    std::string m_service;
    std::string m_zone;
    std::int64_t m_mean_us{20'000};
    std::int64_t m_longest_us{0};
    double m_spread{-1.0};
    std::int64_t m_idle_ms{60'000};
    standin::server_shape m_shape;
};

standin::service_times times_of(const options& from) {
    if (from.m_spread >= 0)
        return standin::spread_times{skylark::duration{from.m_mean_us},
                                     from.m_spread};
    if (from.m_longest_us == 0)
        return standin::exponential_times{skylark::duration{from.m_mean_us}};
    // The mean of a Pareto distribution is 6 times its minimum at 1.2.
    constexpr std::int64_t mean_by_shortest = 6;
    return standin::heavy_tail_times{
        skylark::duration{from.m_mean_us / mean_by_shortest},
        skylark::duration{from.m_longest_us}};
}

void add_options(CLI::App& app, options& to) {
    app.add_option("--listen", to.m_listen, "address to serve on");
    app.add_option("--store", to.m_store, "operators' address of the store");
    app.add_option("--id", to.m_shape.m_instance, "id of this lifetime")
        ->required();
    app.add_option("--service", to.m_service, "service it belongs to");
    app.add_option("--zone", to.m_zone, "its availability zone");
    app.add_option("--slots", to.m_shape.m_slots, "requests run at once");
    app.add_option("--queue", to.m_shape.m_queue_limit, "requests that wait");
    app.add_option("--mean-us", to.m_mean_us, "mean service time");
    app.add_option("--longest-us", to.m_longest_us,
                   "heavy tail up to this service time");
    app.add_option("--spread", to.m_spread,
                   "log-normal service times with this deviation");
    app.add_option("--knee", to.m_shape.m_strain.m_knee,
                   "share of slots in use from which work is slower");
    app.add_option("--knee-factor", to.m_shape.m_strain.m_knee_factor,
                   "how many times longer it takes then");
    app.add_option("--slow-share", to.m_shape.m_strain.m_slow_share,
                   "share of phases of 500 ms that are slow");
    app.add_option("--slow-factor", to.m_shape.m_strain.m_slow_factor,
                   "how many times longer work takes in these");
    app.add_flag("--hangs", to.m_shape.m_hangs,
                 "never answers what it can't queue");
    app.add_option("--idle-ms", to.m_idle_ms,
                   "idle connections are closed after this time");
    app.add_option("--seed", to.m_shape.m_seed, "seed of service times");
    app.add_option("--ledger", to.m_shape.m_ledger, "file of events");
}

// /standin/leave, /standin/rest?ms=N, /standin/break?count=N, /standin/drain,
// /standin/withdraw, /standin/endless?percent=N[&checks=1]
void administer(standin::server& server,
                std::optional<standin::registration>& record,
                const standin::query& call,
                const std::function<void(int)>& done) {
    const auto note = [&server, done](const char* word) {
        return [&server, done, word](int status) {
            server.book().add(word, "-", "store=" + std::to_string(status));
            done(status == 0 ? skylark::io::status::bad_gateway : status);
        };
    };
    if (call.path() == "/standin/leave") {
        server.leave();
        done(skylark::io::status::ok);
    } else if (call.path() == "/standin/rest") {
        server.rest(milliseconds{call.number("ms", 0)});
        done(skylark::io::status::ok);
    } else if (call.path() == "/standin/break") {
        server.break_answers(call.number("count", 0));
        done(skylark::io::status::ok);
    } else if (call.path() == "/standin/endless") {
        server.answer_without_end(call.number("percent", 0),
                                  call.number("checks", 0) != 0);
        done(skylark::io::status::ok);
    } else if (call.path() == "/standin/drain" && record) {
        server.set_draining();
        record->set_state("draining", note("draining"));
    } else if (call.path() == "/standin/withdraw" && record) {
        record->withdraw(note("withdrawn"));
    } else {
        done(skylark::io::status::not_found);
    }
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for a server of the users' platform"};
    options from;
    add_options(app, from);
    CLI11_PARSE(app, argc, argv);
    const auto where = skylark::parse_address(from.m_listen, "--listen");
    if (!where) {
        std::cerr << where.error().text() << '\n';
        return 2;
    }
    from.m_shape.m_times = times_of(from);
    from.m_shape.m_idle = milliseconds{from.m_idle_ms};
    skylark::io::event_loop loop;
    standin::server server{loop, from.m_shape};
    std::optional<standin::registration> record;
    server.on_admin(
        [&](const standin::query& call, const std::function<void(int)>& done) {
            administer(server, record, call, done);
        });
    const auto bound = server.listen(where.value());
    if (!bound) {
        std::cerr << bound.error().text() << '\n';
        return 2;
    }
    std::cout << bound.value().text() << std::endl;
    if (const auto store = skylark::parse_address(from.m_store, "--store"))
        record.emplace(loop, store.value(),
                       standin::server_record{
                           from.m_shape.m_instance, from.m_service, from.m_zone,
                           from.m_shape.m_slots, bound.value()});
    loop.run();
}
