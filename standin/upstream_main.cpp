// Command line of the upstream's stand-in.
#include <iostream>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include "io/fetcher.hpp"
#include "standin/upstream.hpp"

namespace {

// What the platform's instance list says about this process.
struct listing {
    std::string m_platform;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
};

void enlist(skylark::io::fetcher& fetcher, const listing& as,
            skylark::address where) {
    const auto platform = skylark::parse_address(as.m_platform, "--platform");
    if (!platform)
        return;
    const std::string text = where.text();
    const nlohmann::json body{{"ID", as.m_id},
                              {"Address", text.substr(0, text.find(':'))},
                              {"Port", where.m_port},
                              {"Meta",
                               {{"role", "upstream"},
                                {"service", as.m_service},
                                {"zone", as.m_zone},
                                {"state", "live"}}}};
    skylark::io::fetch_request request;
    request.m_to = platform.value();
    request.m_method = "PUT";
    request.m_path = "/v1/agent/service/register";
    request.m_body = body.dump();
    fetcher.run(request, [](const auto&) {});
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"Stand-in for an upstream"};
    std::string listen = "127.0.0.1:0";
    standin::upstream_shape shape;
    listing as;
    std::string advertise;
    std::uint16_t count = 1;
    app.add_option("--count", count,
                   "upstreams of this process, on consecutive ports");
    app.add_option("--listen", listen, "address to serve on");
    app.add_option("--advertise", advertise,
                   "address in the instance list, if not the own one");
    app.add_option("--platform", as.m_platform, "platform to enlist with");
    app.add_option("--id", as.m_id, "name in the instance list");
    app.add_option("--service", as.m_service, "service it belongs to");
    app.add_option("--zone", as.m_zone, "its availability zone");
    app.add_option("--slots", shape.m_slots, "requests worked on at once");
    app.add_option("--cold-slots", shape.m_cold_slots, "the same when cold");
    app.add_option("--cold-ms", shape.m_cold_ms, "length of a cold start");
    app.add_option("--service-us", shape.m_service_us, "mean service time");
    app.add_option("--slow-factor", shape.m_slow_factor,
                   "service time while slow");
    app.add_option("--slow-share", shape.m_slow_share,
                   "part of the time that it is slow");
    app.add_option("--seed", shape.m_seed, "seed of its random numbers");
    app.add_option("--ledger", shape.m_ledger, "file of executions");
    CLI11_PARSE(app, argc, argv);
    const auto where = skylark::parse_address(listen, "--listen");
    if (!where) {
        std::cerr << where.error().text() << '\n';
        return 2;
    }
    skylark::io::event_loop loop;
    constexpr std::size_t answer_limit = 4096;
    skylark::io::fetcher fetcher{loop, answer_limit};
    std::vector<std::unique_ptr<standin::upstream>> upstreams;
    for (std::uint16_t i = 0; i < count; ++i) {
        upstreams.push_back(std::make_unique<standin::upstream>(loop, shape));
        skylark::address own = where.value();
        own.m_port = static_cast<std::uint16_t>(own.m_port + i);
        const auto bound = upstreams.back()->listen(own);
        if (!bound) {
            std::cerr << bound.error().text() << '\n';
            return 2;
        }
        skylark::address reached = bound.value();
        if (const auto other = skylark::parse_address(advertise, "--advertise"))
            reached = other.value();
        listing one = as;
        one.m_id += i == 0 ? "" : "-" + std::to_string(i);
        if (!as.m_platform.empty())
            enlist(fetcher, one, reached);
        std::cout << bound.value().text() << std::endl;
        ++shape.m_seed;
    }
    loop.run();
}
