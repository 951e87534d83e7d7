// Ends of responses on client connections: reuse, and responses that are
// skipped.
#include <utility>

#include "io/event_loop.hpp"
#include "io/http_client_native.hpp"

namespace skylark::io {

using internal::connection;
using internal::phase;

bool http_client::skip_response(connection_id key) {
    connection* found = m_native->m_connections.find(key);
    if (!found || found->m_phase != phase::body || found->m_head_sent ||
        found->m_parser.ends_with_connection())
        return false;
    found->m_skipping = true;
    return true;
}

// Goes on to the next response. Returns whether the connection is still open.
bool http_client::native::finish_skipped(connection& conn) {
    conn.m_skipping = false;
    conn.m_skipped = true;
    conn.m_phase = phase::head;
    return check_overhead(conn);
}

void http_client::native::finish(connection& conn, std::size_t rest,
                                 bool close_delimited) {
    const bool reusable = rest == 0 && !close_delimited && !conn.m_skipped &&
                          !conn.m_write_failed && conn.m_parser.keeps_alive();
    if (!reusable || !conn.m_writing) {
        complete(conn, reusable, close_delimited);
        return;
    }
    // h2o accepts no further write until it has reported this one. It does so
    // in the same loop iteration, unless the kernel has not accepted the
    // whole request.
    conn.m_phase = phase::awaiting_write;
    const connection_id key = conn.m_key;
    m_loop->after(duration{0}, [this, key] { finish_awaited_write(key); });
}

void http_client::native::finish_awaited_write(connection_id key) {
    connection* found = m_connections.find(key);
    if (found && found->m_phase == phase::awaiting_write)
        complete(*found, !found->m_writing, false);
}

void http_client::native::complete(connection& conn, bool reusable,
                                   bool close_delimited) {
    const connection_id key = conn.m_key;
    conn.m_phase = phase::idle;
    conn.m_overhead_bytes = 0;
    conn.m_body_bytes = 0;
    conn.m_bytes_sent = false;
    if (!reusable)
        close_socket(conn);
    else if (std::exchange(conn.m_paused, false))
        h2o_socket_read_start(conn.m_socket, &native::on_read);
    report(conn, response_complete{reusable, close_delimited});
    if (!reusable)
        m_connections.erase(key);
}

void http_client::native::handle_end_of_stream(connection& conn,
                                               const char* error) {
    const bool body_may_end = conn.m_phase == phase::body &&
                              !conn.m_write_failed &&
                              conn.m_parser.ends_with_connection() &&
                              error == h2o_socket_error_closed;
    if (body_may_end)
        finish(conn, 0, true);
    else if (conn.m_phase == phase::awaiting_write)
        complete(conn, false, false);
    else
        fail(conn, error);
}

} // namespace skylark::io
