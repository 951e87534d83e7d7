// Exposures in the messages between entries.
#include "peer/exposure_codec.hpp"

#include <algorithm>

#include "peer/compact.hpp"

namespace skylark::peer::internal {

namespace {

// No document holds more rules of one service; a damaged message may.
constexpr std::size_t most_routes = 1000;

wire::version_counts encode_counts(const version_counts& from) {
    wire::version_counts out;
    out.responses = to_wire(from.m_responses);
    out.failures = to_wire(from.m_failures);
    out.slow = to_wire(from.m_slow);
    out.timed = to_wire(from.m_timed);
    out.time_us = to_wire(from.m_time_us);
    return out;
}

version_counts decode_counts(const wire::version_counts& from) {
    return {from_wire(from.responses), from_wire(from.failures),
            from_wire(from.slow), from_wire(from.timed),
            from_wire(from.time_us)};
}

wire::exposure encode_one(const exposure& from) {
    wire::exposure out;
    out.order = to_wire(from.m_order);
    out.sequence = to_wire(from.m_sequence);
    out.elapsed_us = from.m_elapsed.count();
    out.bad = from.m_bad;
    out.earlier_closed = from.m_earlier_closed;
    out.earlier_in_progress = to_wire(from.m_earlier_in_progress);
    out.requests = to_wire(from.m_requests);
    out.target_requests = to_wire(from.m_target_requests);
    out.bad_upstreams = to_wire(from.m_bad_upstreams);
    for (const route_exposure& item : from.m_routes) {
        wire::route_exposure& route = out.routes.emplace_back();
        route.route = static_cast<std::int32_t>(item.m_route);
        route.target = encode_counts(item.m_target);
        route.earlier = encode_counts(item.m_earlier);
    }
    return out;
}

exposure decode_one(const wire::exposure& from) {
    exposure out;
    out.m_order = from_wire(from.order);
    out.m_sequence = from_wire(from.sequence);
    out.m_elapsed = std::max(duration{0}, make_duration(from.elapsed_us));
    out.m_bad = from.bad;
    out.m_earlier_closed = from.earlier_closed;
    out.m_earlier_in_progress = from_wire(from.earlier_in_progress);
    out.m_requests = from_wire(from.requests);
    out.m_target_requests = from_wire(from.target_requests);
    out.m_bad_upstreams = from_wire(from.bad_upstreams);
    for (const wire::route_exposure& item : from.routes) {
        if (out.m_routes.size() == most_routes)
            break;
        route_exposure& route =
            out.on_route(static_cast<std::uint32_t>(item.route));
        route.m_target = decode_counts(item.target);
        route.m_earlier = decode_counts(item.earlier);
    }
    return out;
}

} // namespace

std::vector<wire::exposure> to_wire(const std::vector<exposure>& from) {
    std::vector<wire::exposure> out;
    out.reserve(from.size());
    for (const exposure& item : from)
        out.push_back(encode_one(item));
    return out;
}

std::vector<exposure> from_wire(const std::vector<wire::exposure>& from) {
    std::vector<exposure> out;
    out.reserve(from.size());
    for (const wire::exposure& item : from)
        out.push_back(decode_one(item));
    return out;
}

} // namespace skylark::peer::internal
