// Serves the configuration in force to other entries.
#include "entry/document_source.hpp"

#include <array>
#include <utility>
#include <vector>

#include "core/parse_number.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {

// What the requester has; it fetches what is later than that.
config_order order_of(const io::request_view& request) {
    const auto field = [&](std::string_view name) {
        return io::find_header(request.m_headers, name);
    };
    return {
        parse_number<std::uint64_t>(field("Config-Version")).value_or(0),
        parse_position(field("Config-Revision")).value_or(store_position{})};
}

} // namespace

void document_source::answer(exchange_id key, const io::request_view& request) {
    const auto& config = m_shared.m_config;
    std::vector<io::header> headers{
        {"Content-Type", "application/json"},
        {"Config-Revision", text_of(config.position())},
        {"ETag", m_shared.m_packed.digest()}};
    if (gains_nothing(request)) {
        m_server.answer(key, io::status::not_modified, headers, "");
        return;
    }
    const bool packs =
        io::find_header(request.m_headers, "Accept-Encoding") == "gzip";
    const std::string& body =
        packs ? m_shared.m_packed.packed() : config.text();
    if (packs)
        headers.push_back({"Content-Encoding", "gzip"});
    if (std::exchange(m_served, config.position()) != config.position())
        m_uploads.version_changed();
    const auto from = parse_address(
        io::find_header(request.m_headers, "Entry-Control"), "Entry-Control");
    if (from && !m_uploads.begin(key, from.value(), body.size())) {
        refuse(key);
        return;
    }
    m_server.answer(key, io::status::ok, headers, body);
}

bool document_source::gains_nothing(const io::request_view& request) {
    const auto known = io::find_header(request.m_headers, "If-None-Match");
    return !known.empty() && (known == m_shared.m_packed.digest() ||
                              order_of(request) >= m_shared.m_config.order());
}

void document_source::refuse(exchange_id key) {
    std::string holders;
    for (const address& holder : m_uploads.holders()) {
        if (!holders.empty())
            holders += ',';
        holders += holder.text();
    }
    const std::array headers{
        io::header{"Retry-After", "0.1"},
        io::header{"Config-Revision", text_of(m_shared.m_config.position())},
        io::header{"Config-Holders", holders}};
    m_server.answer(key, io::status::unavailable, headers, "busy\n");
}

} // namespace skylark::entry
