// Fetches one kind of data from the peers that announce a newer version.
#include "entry/peer_transfer.hpp"

#include <string>
#include <utility>
#include <vector>

#include "io/http_status.hpp"

namespace skylark::entry {

namespace {

constexpr auto check_period = milliseconds{50};
constexpr auto piece_timeout = seconds{1};

} // namespace

std::vector<transfer_source>
peer_transfer::holders_in(const io::fetch_answer& answer) const {
    std::vector<transfer_source> out;
    std::string_view left = answer.header_value("Config-Holders");
    while (!left.empty()) {
        const auto end = std::min(left.find(','), left.size());
        if (const auto read = parse_address(left.substr(0, end), "holder"))
            out.push_back({read.value(), m_hooks.m_in_own_zone(read.value())});
        left.remove_prefix(std::min(end + 1, left.size()));
    }
    return out;
}

void peer_transfer::announced(const config_order& which,
                              const transfer_source& by) {
    m_plan.announced(which, by, io::event_loop::now());
    start_transfers();
}

void peer_transfer::adopted(const config_order& in_force) {
    m_plan.adopted(in_force);
    if (!m_plan.pending())
        clear();
}

void peer_transfer::clear() {
    m_plan.clear();
    for (const auto& [from, key] : std::exchange(m_active, {}))
        m_fetcher.cancel(key);
}

void peer_transfer::start_transfers() {
    while (const auto from = m_plan.next(io::event_loop::now()))
        begin(*from);
    if (!m_plan.pending() || std::exchange(m_checking, true))
        return;
    m_loop.after(check_period, [this] {
        m_checking = false;
        start_transfers();
    });
}

void peer_transfer::begin(const address& from) {
    io::fetch_request request = m_hooks.m_request();
    request.m_to = from;
    request.m_piece_timeout = piece_timeout;
    m_active[from] = m_fetcher.run(
        request,
        [this, from](const io::fetch_result& result) { end(from, result); },
        [this, from] { m_plan.input_received(from, io::event_loop::now()); });
}

void peer_transfer::end(const address& from, const io::fetch_result& result) {
    m_active.erase(from);
    transfer_end how = transfer_end::failed;
    if (const auto* answer = std::get_if<io::fetch_answer>(&result)) {
        if (answer->m_status == io::status::unavailable) {
            how = transfer_end::busy;
            m_plan.referred(holders_in(*answer));
        } else {
            how = m_hooks.m_take(*answer);
            if (how == transfer_end::failed)
                m_hooks.m_failed(from,
                                 "status " + std::to_string(answer->m_status));
        }
    } else {
        m_hooks.m_failed(from, std::get<io::fetch_failure>(result).m_cause);
    }
    m_plan.ended(from, how, io::event_loop::now());
    start_transfers();
}

} // namespace skylark::entry
