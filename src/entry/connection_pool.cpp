// Idle connections to upstreams and their reuse.
#include "entry/connection_pool.hpp"

#include <algorithm>

namespace skylark::entry {

std::optional<connection_id> connection_pool::take(upstream& of,
                                                   bool fresh_only) {
    const time_point now = io::event_loop::now();
    while (!of.m_idle.empty()) {
        const idle_connection newest = of.m_idle.back();
        const duration age = now - newest.m_answered;
        if (fresh_only && age > defaults::fresh_connection_age)
            break;
        of.m_idle.pop_back();
        if (m_client.usable(newest.m_connection))
            return newest.m_connection;
        m_client.close(newest.m_connection);
        --of.m_connections;
    }
    // Makes room for a new connection under the connection limit.
    if (!of.m_idle.empty())
        close_oldest(of);
    return std::nullopt;
}

void connection_pool::keep(upstream& of, connection_id connection) {
    const upstream_id owner = of.m_id;
    m_client.rebind(connection, [this, owner](connection_id closed,
                                              const io::client_event&) {
        upstream* found = m_shared.m_upstreams.find(owner);
        if (!found)
            return;
        const auto count =
            std::erase_if(found->m_idle, [&](const idle_connection& item) {
                return item.m_connection == closed;
            });
        found->m_connections -= static_cast<std::uint32_t>(count);
    });
    of.m_idle.push_back({connection, io::event_loop::now()});
}

void connection_pool::close_oldest(upstream& of) {
    m_client.close(of.m_idle.front().m_connection);
    of.m_idle.erase(of.m_idle.begin());
    --of.m_connections;
}

void connection_pool::close_stale(upstream& of, time_point unanswered_since) {
    while (!of.m_idle.empty() &&
           of.m_idle.front().m_answered < unanswered_since) {
        close_oldest(of);
        m_shared.m_metrics.count(counter::stale_connections_closed);
    }
}

void connection_pool::close_expired() {
    const time_point limit =
        io::event_loop::now() - defaults::idle_connection_limit;
    for (auto& [key, item] : m_shared.m_upstreams.all())
        while (!item.m_idle.empty() && item.m_idle.front().m_answered < limit)
            close_oldest(item);
}

void connection_pool::close_all(upstream& of) {
    while (!of.m_idle.empty())
        close_oldest(of);
}

} // namespace skylark::entry
