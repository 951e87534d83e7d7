// Server for entry lookups and readiness checks.
#include "entry/lookup.hpp"

#include <string>

#include "entry/entry_list.hpp"
#include "io/http_status.hpp"

namespace skylark::entry {

namespace {
constexpr std::size_t max_body_size = 4096; // bytes; lookups have no body
} // namespace

std::string_view unready_reason(const context& shared) {
    const bool native = shared.m_settings.m_deployment == deployment::native;
    if (!shared.m_config.ready())
        return "no configuration yet";
    if (shared.m_drain)
        return "draining";
    if (shared.m_isolated)
        return "neither store nor majority";
    if (native && shared.m_fleet.state() != member_state::active)
        return "joining";
    if (!native && !shared.m_instances.m_index.known())
        return "no instance list yet";
    return {};
}

lookup::lookup(context& shared)
    : m_shared{shared}, m_server{shared.m_loop, {max_body_size, seconds{60}}} {
    m_server.set_handlers(
        {[this](exchange_id key, const io::request_view& request) {
             serve(key, request);
         },
         {},
         {}});
}

parsed<void> lookup::listen() {
    for (const auto& where :
         {m_shared.m_settings.m_lookup, m_shared.m_settings.m_ready})
        if (where) {
            BOOST_OUTCOME_TRYV(m_server.listen(*where));
        }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void lookup::serve(exchange_id key, const io::request_view& request) {
    if (answer_lookup(m_shared, m_server, key, request.m_path))
        return;
    const bool is_readiness_path = std::visit(
        [&](const auto& kind) {
            return kind.is_readiness_path(request.m_path);
        },
        m_shared.m_dialect);
    if (!is_readiness_path) {
        m_server.answer(key, io::status::not_found, {}, "no such path\n");
        return;
    }
    const std::string_view why = unready_reason(m_shared);
    m_server.answer(key, why.empty() ? io::status::ok : io::status::unavailable,
                    {}, why.empty() ? "ready\n" : std::string{why} + "\n");
}

} // namespace skylark::entry
