// Waits for the ports of an entry, which its predecessor may still hold.
#include "entry/port_wait.hpp"

#include <optional>
#include <system_error>
#include <vector>

#include <poll.h>

#include "entry/journal.hpp"
#include "entry/log_line.hpp"
#include "entry/stop_signal.hpp"
#include "io/event_loop.hpp"
#include "io/port_probe.hpp"

namespace skylark::entry {

namespace {

constexpr auto longest_wait = seconds{15};
constexpr int probe_period_ms = 20;

struct port {
    io::transport m_kind;
    address m_local;
};

struct held_port {
    address m_local;
    std::error_code m_reason;
};

std::vector<port> ports_of(const settings& from) {
    std::vector<port> out{{io::transport::tcp, from.m_callers},
                          {io::transport::tcp, from.m_control},
                          {io::transport::udp, from.m_peer}};
    for (const auto& where : {from.m_lookup, from.m_ready})
        if (where)
            out.push_back({io::transport::tcp, *where});
    return out;
}

std::optional<held_port> first_held(const std::vector<port>& ports) {
    for (const port& item : ports)
        if (const auto reason = io::probe_port(item.m_kind, item.m_local))
            return held_port{item.m_local, reason};
    return std::nullopt;
}

} // namespace

parsed<void> wait_for_ports(const settings& from) {
    const std::vector<port> ports = ports_of(from);
    std::optional<held_port> held = first_held(ports);
    if (!held)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    const time_point began = io::event_loop::now();
    journal events{from.m_name, from.m_log_level};
    log_line begin{"start"};
    begin.add("step", "waiting for a port")
        .add("address", held->m_local.text())
        .add("reason", held->m_reason.message())
        .add_ms("limit_ms", longest_wait);
    events.decided(begin, began, line_kind::change);
    time_point now = began;
    while (held && stop_signalled_us == 0) {
        if (now - began >= longest_wait)
            return input_error{"listen", held->m_local.text(),
                               "a local address that is free within 15 s (" +
                                   held->m_reason.message() + ")"};
        poll(nullptr, 0, probe_period_ms); // a signal ends it
        held = first_held(ports);
        now = io::event_loop::now();
    }
    log_line end{"start"};
    end.add("step", held ? "told to end" : "ports are free")
        .add_ms("waited_ms", now - began);
    events.decided(end, now, line_kind::change);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace skylark::entry
